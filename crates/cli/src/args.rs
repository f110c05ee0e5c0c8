//! The command line, as `--help` shows it.

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

const ABOUT: &str =
    "A storage gateway: takes reads and writes of many volumes and schedules them over storage \
                     nodes, so that every volume keeps to its reservation, share and limit.";
const AFTER: &str =
    "Exit codes: 0 all well; 1 it ran and a rule was broken; 2 bad arguments or settings, \
                     nothing was started; 3 it could not run.\n\nStart with: grebecleat rehearse \
                     examples/bad-day.star";

#[derive(Parser)]
#[command(name = "grebecleat", version, about = ABOUT, after_help = AFTER)]
pub struct Args {
    #[command(flatten)]
    pub logs: Logs,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

#[derive(ClapArgs)]
pub struct Logs {
    /// How log lines look.
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub log: Format,
    /// What is logged: error, warn, info, debug, trace, or filters such as grebecleat_host=debug.
    #[arg(
        long,
        env = "GREBECLEAT_LOG",
        default_value = "info,may=error",
        global = true
    )]
    pub log_level: String,
    /// Appends the log to a file; standard error otherwise.
    #[arg(long, global = true)]
    pub log_file: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Runs one host of a deployment until SIGTERM has drained it; a second signal ends it at once.
    Run(HostArgs),
    /// Runs one host on the users' platform, as its variables and configuration say (LB_CONFIG),
    /// until SIGTERM has ended it; SIGHUP reads the configuration again.
    Platform,
    /// Adds up what hosts on the platform gave up and why, by second, from their logs at debug
    /// level.
    Account {
        /// Logs of hosts (`grebecleat --log-level grebecleat_platform=debug platform`).
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Seconds in one row.
        #[arg(long, default_value_t = 1)]
        every: u64,
        /// By how many parts of a cause's name: why, traffic class, paying bucket, age of the
        /// node's last answer; 0: all of them.
        #[arg(long, default_value_t = 1)]
        parts: usize,
    },
    /// Runs the state service: keeps plans and volumes, and tells hosts what changes.
    StateService(StateArgs),
    /// Shows and changes plans and volumes while they are in service.
    Plans(PlansArgs),
    /// Shows what a running host knows of the fleet: its peers, what it believes of nodes, its
    /// parts of limits.
    Fleet {
        /// Where the host listens.
        #[arg(long)]
        at: SocketAddr,
    },
    /// Checks a settings file whole, and says what is wrong with it and where.
    Check { file: PathBuf },
    /// Plays a scripted day on this machine's loopback: list, nodes, hosts, clients; then the
    /// audit.
    Rehearse(RehearseArgs),
    /// Judges the seven rules from the traces of a run.
    Audit {
        /// Folder with *.trace files.
        dir: PathBuf,
        /// The settings that the run had.
        script: PathBuf,
    },
    /// Prints the records of a trace file, one a line.
    Show {
        file: PathBuf,
        /// Only records that hold this text.
        #[arg(long, default_value = "")]
        with: String,
    },
    /// Stand-in: runs the deployment's nodes, which keep bytes in memory and play the script's
    /// troubles.
    Node(NodeArgs),
    /// Stand-in: runs the list of nodes.
    ListService(ListArgs),
    /// Prints a completion script for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(ClapArgs)]
pub struct HostArgs {
    /// Settings of the deployment.
    pub file: PathBuf,
    /// Which host of the settings this is; may be left out where there is one.
    #[arg(long)]
    pub host: Option<String>,
    /// Where clients come to; overrides the settings.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// Where the list of nodes answers; overrides the settings.
    #[arg(long)]
    pub list: Option<SocketAddr>,
    /// Where the state service answers; overrides the settings.
    #[arg(long)]
    pub state: Option<SocketAddr>,
    /// Where another host answers to its peers, as NAME=ADDRESS; overrides the settings. May be
    /// given again.
    #[arg(long = "peer")]
    pub peers: Vec<String>,
    /// Records every frame that crosses a socket.
    #[arg(long)]
    pub trace: Option<PathBuf>,
    /// Keeps the last list of nodes here for the next start.
    #[arg(long)]
    pub remember: Option<PathBuf>,
    /// Where this host's iSCSI portal listens; overrides the settings.
    #[arg(long)]
    pub portal: Option<SocketAddr>,
    /// Keeps what must outlive this process: where extents lie, for an iSCSI portal, and plans as
    /// they were last told.
    #[arg(long)]
    pub store: Option<PathBuf>,
    /// Seed of the decisions; new at each start if left out.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Threads that carry the connections.
    #[arg(long, default_value_t = 2)]
    pub workers: usize,
}

#[derive(ClapArgs)]
pub struct Stage {
    /// Settings and script.
    pub file: PathBuf,
    /// The script's start, in nanoseconds of the machine's monotonic clock; now if left out.
    #[arg(long)]
    pub t0: Option<u64>,
    /// Records every frame that crosses a socket.
    #[arg(long)]
    pub trace: Option<PathBuf>,
    /// Kinds of trouble in place of the script's own, joined by +.
    #[arg(long)]
    pub kinds: Option<String>,
    /// Seed in place of the script's.
    #[arg(long)]
    pub seed: Option<u64>,
}

#[derive(ClapArgs)]
pub struct NodeArgs {
    #[command(flatten)]
    pub stage: Stage,
    /// Where the list of nodes answers.
    #[arg(long)]
    pub list: SocketAddr,
    /// Only these nodes; all of the settings if left out.
    #[arg(long, value_delimiter = ',')]
    pub ids: Vec<u32>,
}

#[derive(ClapArgs)]
pub struct ListArgs {
    #[command(flatten)]
    pub stage: Stage,
    /// Where to listen; overrides the settings.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
}

#[derive(ClapArgs)]
pub struct RehearseArgs {
    /// Settings with a rehearsal().
    #[arg(default_value = "examples/bad-day.star")]
    pub script: PathBuf,
    /// Kinds of trouble in place of the script's own, as the bench's journal joins them: hang+slow.
    #[arg(long)]
    pub kinds: Option<String>,
    /// Draws work and troubles from this seed in place of the script's.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Takes the kinds from a file of the bench's journal.
    #[arg(long, conflicts_with = "kinds")]
    pub journal: Option<PathBuf>,
    /// Folder for traces and logs; a new one, removed if all went well, if left out.
    #[arg(long)]
    pub dir: Option<PathBuf>,
    /// Keeps the folder.
    #[arg(long)]
    pub keep: bool,
}

#[derive(ClapArgs)]
pub struct StateArgs {
    /// Settings of the deployment, with a state_service().
    pub file: PathBuf,
    /// Keeps plans, volumes, drains and their trail; snapshots are written beside it.
    #[arg(long)]
    pub store: PathBuf,
    /// Where to listen; overrides the settings.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// Records every frame that crosses a socket.
    #[arg(long)]
    pub trace: Option<PathBuf>,
}

#[derive(ClapArgs)]
pub struct PlansArgs {
    /// Where the state service answers.
    #[arg(long, env = "GREBECLEAT_STATE", default_value = "127.0.0.1:7070")]
    pub at: SocketAddr,
    /// Who you are, for the trail; the name you are logged in with if left out.
    #[arg(long = "who")]
    pub author: Option<String>,
    /// How it is printed.
    #[arg(long, value_enum, default_value = "text")]
    pub output: Format,
    #[command(subcommand)]
    pub command: PlansCommand,
}

#[derive(ClapArgs)]
pub struct Change {
    /// Why, for the trail.
    #[arg(long = "why", default_value = "")]
    pub reason: String,
    /// Whatever speaks against it; what does is kept in the trail.
    #[arg(long)]
    pub force: bool,
    /// Nothing lands; says what would speak against it. Not for undo.
    #[arg(long)]
    pub dry_run: bool,
}

#[derive(Subcommand)]
pub enum PlansCommand {
    /// Plans, volumes, nodes, drains, targets and timed changes as they are.
    List,
    /// One of them: plan NAME, volume ID, node ID, target NAME.
    Show { kind: String, name: String },
    /// Changes them, all that is given as one: 'plan basic limit=20' 'volume 103 plan=gold' 'drain
    /// 5' ...
    Set {
        /// One change each; see the operators' page for all forms.
        #[arg(required = true)]
        changes: Vec<String>,
        /// To land later: 2026-12-01T22:00:00Z, or +90m from now.
        #[arg(long)]
        at_time: Option<String>,
        /// Refused if anything it touches has changed since that entry; since it was read, if left
        /// out.
        #[arg(long = "looked-at")]
        base_version: Option<u64>,
        #[command(flatten)]
        change: Change,
    },
    /// Entries of the trail, the last ones last.
    History {
        /// How many.
        #[arg(long, default_value_t = 20)]
        most: u32,
        /// Only entries that touch this, such as 'volume 103'.
        #[arg(long)]
        of: Option<String>,
    },
    /// Puts back what an entry changed, as a new entry.
    Undo {
        #[arg(value_name = "ENTRY")]
        revision: u64,
        #[command(flatten)]
        change: Change,
    },
    /// Where a settings file and what is in service differ.
    Diff { file: PathBuf },
    /// Makes what is in service what a settings file declares, as one entry.
    Declare {
        file: PathBuf,
        #[command(flatten)]
        change: Change,
    },
    /// The service, its store and its hosts; what waits for whom.
    Status,
    /// What extents to move so that promises hold, with some nodes emptied.
    Moves {
        /// Nodes that are to be emptied, beside those that drain.
        #[arg(long, value_delimiter = ',')]
        empty: Vec<u32>,
    },
    /// You answer for it that a host sends nothing: what waits for its word waits no longer.
    Gone { host: String },
    /// After a restore: what is here counts, whatever hosts have followed.
    Prevail {
        #[arg(long = "why", default_value = "")]
        reason: String,
    },
    /// Writes everything that the service has into a file.
    Snapshot { file: PathBuf },
    /// Reads a store or a snapshot whole, and says what is in it or what is wrong. The service must
    /// not run.
    Check { file: PathBuf },
    /// Builds a store from a snapshot; the old one is moved aside. The service must not run.
    Restore { snapshot: PathBuf, store: PathBuf },
}
