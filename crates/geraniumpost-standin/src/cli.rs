//! Command line of the binary that runs one stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;

use crate::minion::MinionOptions;
use crate::relay::Protocol;
use crate::worker::{Resources, WorkerOptions};
use crate::{Standin, minion, relay, store, worker};

/// Runs the stand-in that the command line names, and prints its addresses.
pub async fn run() -> Result<()> {
    let matches = cli().get_matches();
    let Some((name, m)) = matches.subcommand() else { return Ok(()) };
    let (listen, control) = (get(m, "listen"), get(m, "control"));
    let standin = match name {
        "store" => store::spawn_in_process(listen, control).await?,
        "worker" => worker::spawn_in_process(listen, control, worker_options(m)).await?,
        "minion" => minion::spawn_in_process(listen, control, minion_options(m)).await?,
        _ => relay::spawn_in_process(listen, control, protocol(m), get(m, "to")).await?,
    };
    print_addresses(&standin);
    standin.ended().await;
    Ok(())
}

/// Builds the command line.
pub fn cli() -> Command {
    Command::new("geraniumpost-standin")
        .about("Stand-ins for the platform, for tests and benches only")
        .subcommand_required(true)
        .subcommand(subcommand("store", "The key-value service"))
        .subcommand(
            subcommand("worker", "A worker's task interface")
                .arg(text("name", "worker", "Name in the record"))
                .arg(number("milli-cpus", "64000", "Processors of the VM in thousandths"))
                .arg(number("memory-mb", "250000", "Memory of the VM in mebibytes"))
                .arg(number("accelerators", "0", "Accelerators of the VM"))
                .arg(number("usage-lag-ms", "500", "Delay of the reported usage, in milliseconds"))
                .arg(record()),
        )
        .subcommand(
            subcommand("minion", "A service's back end")
                .arg(text("name", "minion", "Name in the record"))
                .arg(number("slots", "8", "Limit on concurrent requests"))
                .arg(number("connections", "64", "Limit on open connections"))
                .arg(number("work-ms", "0", "Default service time of a request, in milliseconds"))
                .arg(record()),
        )
        .subcommand(
            subcommand("relay", "A relay that can close, stall and delay connections")
                .arg(address("to", "Address to which data is relayed, as IP:port").required(true))
                .arg(
                    Arg::new("udp")
                        .long("udp")
                        .action(ArgAction::SetTrue)
                        .help("Relay datagrams instead of connections"),
                ),
        )
}

fn subcommand(name: &'static str, about: &'static str) -> Command {
    let any_port = "127.0.0.1:0";
    Command::new(name)
        .about(about)
        .arg(address("listen", "Address of the service, as IP:port").default_value(any_port))
        .arg(
            address("control", "Address of the control listener, as IP:port")
                .default_value(any_port),
        )
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(SocketAddr)).help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).value_parser(value_parser!(u64));
    arg.default_value(default).help(help)
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn record() -> Arg {
    let arg = Arg::new("record").long("record").value_parser(value_parser!(PathBuf));
    arg.help("File to which the record is also written")
}

/// Returns an argument that is required or has a default.
fn get<T: Clone + Send + Sync + 'static>(m: &ArgMatches, name: &str) -> T {
    m.get_one::<T>(name).cloned().expect("the argument is required or has a default")
}

fn worker_options(m: &ArgMatches) -> WorkerOptions {
    let capacity = Resources {
        milli_cpus: get(m, "milli-cpus"),
        memory_mb: get(m, "memory-mb"),
        accelerators: get(m, "accelerators"),
    };
    WorkerOptions {
        name: get(m, "name"),
        capacity,
        usage_lag_ms: get(m, "usage-lag-ms"),
        record: m.get_one("record").cloned(),
    }
}

fn minion_options(m: &ArgMatches) -> MinionOptions {
    MinionOptions {
        name: get(m, "name"),
        slots: get(m, "slots"),
        connections: get(m, "connections"),
        work_ms: get(m, "work-ms"),
        record: m.get_one("record").cloned(),
    }
}

fn protocol(m: &ArgMatches) -> Protocol {
    if m.get_flag("udp") { Protocol::Udp } else { Protocol::Tcp }
}

/// Prints the addresses for the parent process, since the ports may have been chosen by the system.
fn print_addresses(standin: &Standin) {
    println!("listening {}", standin.address());
    println!("control {}", standin.control_address());
}
