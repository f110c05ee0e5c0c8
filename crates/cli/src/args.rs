//! The command line, as `--help` shows it.
//!
//! A command that was renamed keeps its former name as an alias, since scripts of operators use it.

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

const ABOUT: &str =
    "A storage gateway: admits reads and writes of many volumes and schedules them over storage \
     nodes, so that every volume keeps to its reservation, share and limit.";
const AFTER: &str =
    "Exit codes: 0 success; 1 the command ran and a rule was broken; 2 invalid arguments or \
     settings, nothing was started; 3 the command could not run.\n\nStart with: grebecleat \
     scenario examples/bad-day.star";

/// The arguments of the program.
#[derive(Parser)]
#[command(name = "grebecleat", version, about = ABOUT, after_help = AFTER)]
pub struct Args {
    #[command(flatten)]
    pub logs: Logs,
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    /// Plain text.
    Text,
    /// JSON, for use by other programs.
    Json,
}

/// Logging options, accepted by every command.
#[derive(ClapArgs)]
pub struct Logs {
    /// Format of the log lines.
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub log: Format,
    /// Log level: error, warn, info, debug, trace, or filters such as grebecleat_host=debug.
    #[arg(
        long,
        env = "GREBECLEAT_LOG",
        default_value = "info,may=error",
        global = true
    )]
    pub log_level: String,
    /// File to which the log is appended; standard error if omitted.
    #[arg(long, global = true)]
    pub log_file: Option<PathBuf>,
}

/// A command of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Runs one host of a deployment. SIGTERM shuts it down gracefully; a second signal ends it at
    /// once.
    Run(HostArgs),
    /// Runs one host on the users' platform, with the configuration file that the environment
    /// variable LB_CONFIG names. SIGTERM shuts it down gracefully; SIGHUP reloads the file.
    Platform,
    /// Counts the requests that hosts on the platform rejected, by second and cause, from their logs
    /// at debug level.
    #[command(visible_alias = "account")]
    ShedReport {
        /// Log files of hosts (`grebecleat --log-level grebecleat_platform=debug platform`).
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Seconds that one row of the report covers.
        #[arg(long, default_value_t = 1)]
        every: u64,
        /// Number of leading parts of a cause's name by which rows are grouped: reason, traffic class,
        /// token bucket that was charged, age of the node's last success; 0 for all of them.
        #[arg(long, default_value_t = 1)]
        parts: usize,
    },
    /// Runs the state service: stores plans and volumes, and notifies hosts of changes.
    StateService(StateArgs),
    /// Shows and changes plans and volumes while they are in service.
    Plans(PlansArgs),
    /// Shows a running host's view of its fleet: its peers, its policy for each node, and its
    /// quotas of the volumes' limits.
    Fleet {
        /// Address on which the host listens.
        #[arg(long)]
        at: SocketAddr,
    },
    /// Checks a settings file completely, and reports each fault with its file, line and column.
    Check { file: PathBuf },
    /// Runs a scripted scenario with injected faults on the loopback interface: discovery, nodes,
    /// hosts and clients; then checks its traces.
    #[command(visible_alias = "rehearse")]
    Scenario(ScenarioArgs),
    /// Checks the traces of a run against the seven correctness rules.
    #[command(visible_alias = "audit")]
    CheckTraces {
        /// Folder with *.trace files.
        dir: PathBuf,
        /// Settings file of the run.
        script: PathBuf,
    },
    /// Prints the records of a trace file, one per line.
    Show {
        file: PathBuf,
        /// Prints only records that contain this text.
        #[arg(long, default_value = "")]
        with: String,
    },
    /// Testbed: runs the deployment's nodes, which store bytes in memory and inject the script's
    /// faults.
    Node(NodeArgs),
    /// Testbed: runs the discovery service.
    #[command(visible_alias = "list-service")]
    DiscoveryService(DiscoveryServiceArgs),
    /// Prints a completion script for a shell.
    Completions { shell: clap_complete::Shell },
}

/// Arguments of `run`.
#[derive(ClapArgs)]
pub struct HostArgs {
    /// Settings file of the deployment.
    pub file: PathBuf,
    /// Name of this host in the settings; may be omitted if the settings have a single host.
    #[arg(long)]
    pub host: Option<String>,
    /// Address on which clients connect; overrides the settings.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// Address of the discovery service; overrides the settings.
    #[arg(long)]
    pub list: Option<SocketAddr>,
    /// Address of the state service; overrides the settings.
    #[arg(long)]
    pub state: Option<SocketAddr>,
    /// Address of another host for gossip, as NAME=ADDRESS; overrides the settings. May be
    /// repeated.
    #[arg(long = "peer")]
    pub peers: Vec<String>,
    /// File that records every frame sent or received.
    #[arg(long)]
    pub trace: Option<PathBuf>,
    /// File that caches the last endpoint list for the next start.
    #[arg(long)]
    pub remember: Option<PathBuf>,
    /// Address of this host's iSCSI portal; overrides the settings.
    #[arg(long)]
    pub portal: Option<SocketAddr>,
    /// File of the state that must survive a restart: the placement of extents, for an iSCSI portal,
    /// and the catalog as last received from the state service.
    #[arg(long)]
    pub store: Option<PathBuf>,
    /// Seed of the scheduler's random numbers; different at each start if omitted.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Number of threads that serve connections.
    #[arg(long, default_value_t = 2)]
    pub workers: usize,
}

/// Arguments of the testbed's processes.
#[derive(ClapArgs)]
pub struct ScriptArgs {
    /// Settings file that contains the script.
    pub file: PathBuf,
    /// Start time of the script, in nanoseconds of the machine's monotonic clock; now if omitted.
    #[arg(long)]
    pub t0: Option<u64>,
    /// File that records every frame sent or received.
    #[arg(long)]
    pub trace: Option<PathBuf>,
    /// Kinds of faults to inject in place of the script's, joined by +.
    #[arg(long)]
    pub kinds: Option<String>,
    /// Seed that overrides the script's.
    #[arg(long)]
    pub seed: Option<u64>,
}

/// Arguments of `node`.
#[derive(ClapArgs)]
pub struct NodeArgs {
    #[command(flatten)]
    pub script: ScriptArgs,
    /// Address of the discovery service.
    #[arg(long)]
    pub list: SocketAddr,
    /// Ids of the nodes to run, separated by commas; all nodes of the settings if omitted.
    #[arg(long, value_delimiter = ',')]
    pub ids: Vec<u32>,
}

/// Arguments of `discovery-service`.
#[derive(ClapArgs)]
pub struct DiscoveryServiceArgs {
    #[command(flatten)]
    pub script: ScriptArgs,
    /// Address to listen on; overrides the settings.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
}

/// Arguments of `scenario`.
#[derive(ClapArgs)]
pub struct ScenarioArgs {
    /// Settings file with a rehearsal().
    #[arg(default_value = "examples/bad-day.star")]
    pub script: PathBuf,
    /// Kinds of faults to inject in place of the script's, joined by + as in the benchmark's journal:
    /// hang+slow.
    #[arg(long)]
    pub kinds: Option<String>,
    /// Seed of the random workload and faults; overrides the script's.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Journal entry of the benchmark from which the kinds of faults are read.
    #[arg(long, conflicts_with = "kinds")]
    pub journal: Option<PathBuf>,
    /// Folder for traces and logs; if omitted, a temporary one, which is removed if the scenario passes.
    #[arg(long)]
    pub dir: Option<PathBuf>,
    /// Keeps the temporary folder even if the scenario passes.
    #[arg(long)]
    pub keep: bool,
}

/// Arguments of `state-service`.
#[derive(ClapArgs)]
pub struct StateArgs {
    /// Settings file of the deployment, with a state_service().
    pub file: PathBuf,
    /// File that stores plans, volumes, drains and their audit log; snapshots are written to its
    /// folder.
    #[arg(long)]
    pub store: PathBuf,
    /// Address to listen on; overrides the settings.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// File that records every frame sent or received.
    #[arg(long)]
    pub trace: Option<PathBuf>,
}

/// Arguments of `plans`.
#[derive(ClapArgs)]
pub struct PlansArgs {
    /// Address of the state service.
    #[arg(long, env = "GREBECLEAT_STATE", default_value = "127.0.0.1:7070")]
    pub at: SocketAddr,
    /// Author of changes, for the audit log; your login name if omitted.
    #[arg(long = "who")]
    pub author: Option<String>,
    /// Format of the output.
    #[arg(long, value_enum, default_value = "text")]
    pub output: Format,
    #[command(subcommand)]
    pub command: PlansCommand,
}

/// Options of a command that changes the catalog.
#[derive(ClapArgs)]
pub struct Change {
    /// Reason, for the audit log.
    #[arg(long = "why", default_value = "")]
    pub reason: String,
    /// Commits the change despite objections; the audit log records them.
    #[arg(long)]
    pub force: bool,
    /// Commits nothing, and prints the objections to the change. Not supported by undo.
    #[arg(long)]
    pub dry_run: bool,
}

/// A command of `plans`.
#[derive(Subcommand)]
pub enum PlansCommand {
    /// Lists plans, volumes, nodes, drains, targets and scheduled changes.
    List,
    /// Shows one record: plan NAME, volume ID, node ID, target NAME.
    Show { kind: String, name: String },
    /// Changes the catalog; all arguments are one atomic change: 'plan basic limit=20' 'volume 103
    /// plan=gold' 'drain 5' ...
    Set {
        /// The changes, one per argument; the operators' page lists all forms.
        #[arg(required = true)]
        changes: Vec<String>,
        /// Time at which the change is committed: 2026-12-01T22:00:00Z, or +90m from now.
        #[arg(long)]
        at_time: Option<String>,
        /// Version on which the change is based: the change is rejected if any record that it changes
        /// has changed since; the version read by this command if omitted.
        #[arg(long = "looked-at")]
        base_version: Option<u64>,
        #[command(flatten)]
        change: Change,
    },
    /// Prints the latest entries of the audit log, the newest last.
    History {
        /// Maximum number of entries.
        #[arg(long, default_value_t = 20)]
        most: u32,
        /// Prints only entries that change this record, such as 'volume 103'.
        #[arg(long)]
        of: Option<String>,
    },
    /// Reverts the changes of an audit log entry, as a new entry.
    Undo {
        #[arg(value_name = "ENTRY")]
        revision: u64,
        #[command(flatten)]
        change: Change,
    },
    /// Shows the differences between a settings file and the catalog in service.
    Diff { file: PathBuf },
    /// Makes the catalog in service equal to what a settings file declares, as one entry.
    Declare {
        file: PathBuf,
        #[command(flatten)]
        change: Change,
    },
    /// Shows the service, its store and its hosts, and which hosts hold up the stable version.
    Status,
    /// Proposes moves of extents so that reservations hold, with some nodes emptied.
    Moves {
        /// Nodes to empty in addition to those that drain.
        #[arg(long, value_delimiter = ',')]
        empty: Vec<u32>,
    },
    /// Declares that a host has stopped for good: changes no longer wait for its acknowledgement.
    /// The operator must make sure that it sends nothing any more.
    Gone { host: String },
    /// Forces a new epoch after a restore: the service's state becomes authoritative, even over newer
    /// entries that hosts have applied.
    Prevail {
        #[arg(long = "why", default_value = "")]
        reason: String,
    },
    /// Writes the service's complete state to a file.
    Snapshot { file: PathBuf },
    /// Verifies a store or a snapshot completely, and prints a summary or the faults. The service must
    /// not be running.
    Check { file: PathBuf },
    /// Builds a store from a snapshot; an existing store is renamed. The service must not be running.
    Restore { snapshot: PathBuf, store: PathBuf },
}
