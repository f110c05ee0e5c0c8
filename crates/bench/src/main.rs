//! Benchmarks of the host, which do not run in CI. Each prints a table for `docs/reports/host.md`.
//!
//! - `decisions`: the scheduler and the router alone, without sockets, by the numbers of nodes and of
//!   open requests.
//! - `sockets`: a host process on one core, between clients and simulated nodes on the other cores:
//!   requests per second, latency added in comparison with a client that talks to the same simulated
//!   node directly, and memory.
//! - `messages`: reading HTTP messages that arrive in pieces, by form and size.
//! - `iscsi`: the same host with an iSCSI portal, in comparison with its native path.
//! - `commands`: allocations of one command in the iSCSI path, in this process.
//! - `deferral`: overload, with and without initiators that honour the retry delay of BUSY.
//! - `planner`, `extents`, `state`: the catalog of plans, volumes and extents, for
//!   `docs/reports/plans.md`.

mod commands;
mod decisions;
mod deferral;
mod extents;
mod iscsi;
mod messages;
mod planner;
mod sockets;
mod state;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::time::Duration;

#[derive(Parser)]
#[command(about = "Measures the host. Run a release build on an otherwise idle machine.")]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Measures the scheduler and the router, without sockets.
    Decisions {
        /// Duration of the measurement for each table row, in seconds.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Does one run with this number of requests instead of printing the table.
        #[arg(long)]
        requests: Option<u64>,
        /// Component that the run with `--requests` measures.
        #[arg(long, value_enum, default_value = "scheduler")]
        subject: decisions::Subject,
        /// Number of nodes in the run with `--requests`.
        #[arg(long, default_value_t = 10)]
        nodes: u32,
        /// Requests open at any time in the run with `--requests`.
        #[arg(long, default_value_t = 1)]
        open: usize,
    },
    /// Measures the reading of HTTP messages that arrive in pieces, without sockets.
    Messages {
        /// Reads this number of messages instead of printing the table.
        #[arg(long)]
        messages: Option<u64>,
        /// Form of the messages that a run with `--messages` reads.
        #[arg(long, value_enum, default_value = "chunks")]
        form: messages::Form,
        /// Size of one message in bytes, in the run with `--messages`.
        #[arg(long, default_value_t = 60 << 10)]
        message_bytes: usize,
        /// Size of one piece in bytes, in the run with `--messages`.
        #[arg(long, default_value_t = 6)]
        piece_bytes: usize,
    },
    /// Compares commands through a portal with requests through the same host.
    Iscsi {
        #[arg(long, default_value_t = 1.0)]
        seconds: f64,
        #[arg(long)]
        program: Option<PathBuf>,
        /// Data lengths of a command in bytes, multiples of 512 up to 256 KiB.
        #[arg(long, value_delimiter = ',', default_value = "512,4096,65536,262144")]
        bytes: Vec<u32>,
        /// Numbers of open commands, spread over two sessions.
        #[arg(long, value_delimiter = ',', default_value = "1,8,32,128")]
        open: Vec<usize>,
    },
    /// Measures overload, with initiators that honour the retry delay of BUSY and ones that ignore it.
    Deferral {
        #[arg(long, default_value_t = 15.0)]
        seconds: f64,
        #[arg(long)]
        program: Option<PathBuf>,
        /// Load as a multiple of the nodes' capacity.
        #[arg(long, default_value_t = 2.0)]
        times: f64,
    },
    /// Measures the check whether all reservations hold, by the size of a site.
    Planner,
    /// Compares the extent index with the standard ordered map.
    Extents {
        #[arg(long, default_value_t = 10_000_000)]
        count: u64,
    },
    /// Measures opening a large store, and changes through the state service.
    State {
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        #[arg(long)]
        program: Option<PathBuf>,
        #[arg(long, default_value_t = 1_000_000)]
        volumes: u64,
        #[arg(long, default_value_t = 10_000_000)]
        extents: u64,
        /// Measures only changes at 10,000 volumes, over this number of connections.
        #[arg(long)]
        connections: Option<u64>,
    },
    /// Measures one row of the first table of `state`.
    #[command(hide = true)]
    StateOpen {
        volumes: u64,
        extents: u64,
        run: u64,
    },
    /// Counts the allocations of one command, without sockets.
    Commands,
    /// Measures a host process on one core, through sockets.
    Sockets {
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Path of the `grebecleat` program; by default the one in the directory of this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Prints only this table.
        #[arg(long)]
        only: Option<sockets::Table>,
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000")]
        nodes: Vec<u32>,
    },
}

fn main() -> std::io::Result<()> {
    match Args::parse().what {
        What::Decisions {
            seconds,
            requests,
            subject,
            nodes,
            open,
        } => {
            let load = decisions::Load {
                nodes,
                open,
                batch: 1,
            };
            match requests {
                Some(requests) => decisions::run_fixed(subject, load, requests),
                None => decisions::measure(Duration::from_secs_f64(seconds)),
            }
        }
        What::Messages {
            messages,
            form,
            message_bytes,
            piece_bytes,
        } => {
            let load = messages::Load {
                form,
                message_bytes,
                piece_bytes,
            };
            match messages {
                Some(messages) => messages::run_fixed(load, messages),
                None => messages::measure(),
            }
        }
        What::Iscsi {
            seconds,
            program,
            bytes,
            open,
        } => {
            let default_program = std::env::current_exe()?.with_file_name("grebecleat");
            let span = Duration::from_secs_f64(seconds);
            iscsi::measure(span, &program.unwrap_or(default_program), &bytes, &open)?;
        }
        What::Deferral {
            seconds,
            program,
            times,
        } => {
            let default_program = std::env::current_exe()?.with_file_name("grebecleat");
            deferral::measure(
                Duration::from_secs_f64(seconds),
                &program.unwrap_or(default_program),
                times,
            )?;
        }
        What::Extents { count } => extents::measure(count),
        What::StateOpen {
            volumes,
            extents,
            run,
        } => state::open(volumes, extents, run)?,
        What::Planner => planner::measure(),
        What::State {
            seconds,
            program,
            volumes,
            extents,
            connections,
        } => {
            let default_program = std::env::current_exe()?.with_file_name("grebecleat");
            let (program, span) = (
                program.unwrap_or(default_program),
                Duration::from_secs_f64(seconds),
            );
            match connections {
                Some(n) => state::changes(&program, span, 10_000, 200, n)?,
                None => state::measure(&program, span, volumes, extents)?,
            }
        }
        What::Commands => commands::measure(),
        What::Sockets {
            seconds,
            program,
            only,
            nodes,
        } => {
            let default_program = std::env::current_exe()?.with_file_name("grebecleat");
            sockets::measure(
                Duration::from_secs_f64(seconds),
                &program.unwrap_or(default_program),
                only,
                &nodes,
            )?;
        }
    }
    Ok(())
}

/// Settings of a site whose nodes take no time per unit of work, for the benchmarks `decisions`,
/// `sockets` and `iscsi`.
fn site(nodes: u32, deadline_s: u32) -> String {
    format!(
        r#"
zone(name = "a")
stream_type(name = "read", slo = s({latency_objective}), expiry = s({deadline_s}), repeat = "repeatable", unit_work = ms(0))
stream_type(name = "write", slo = s({latency_objective}), expiry = s({deadline_s}), repeat = "repeatable", write = True,
            unit_work = ms(0))
plan(name = "p", rate = 1000000, reservation = 1000000)
host(name = "h")
for i in range({nodes}):
    node(id = i + 1, zone = "a", cores = 64, queue = 100000, flush_every = s(1000))
for v in range(100):
    volume(id = v, plan = "p")
node_list(lag = ms(0))
units(mean = 1, largest = 1, meter = ms(0))
bounds(most_open = 100000, most_held_bytes = 1 << 30, legs_per_connection = 1000)
rehearsal(seed = 1, length = s(3600))
"#,
        latency_objective = deadline_s.min(1),
    )
}
