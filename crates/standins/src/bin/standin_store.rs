//! Stand-in for the platform's transactional table service and object store.

use std::net;
use std::process;

use damasktrack_standins::store_server;

fn main() -> process::ExitCode {
    let matches = clap::Command::new("standin-store")
        .about("Stand-in for the platform's table service and object store, in memory")
        .arg(
            clap::Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:0")
                .value_parser(clap::value_parser!(net::SocketAddr))
                .help("Address to listen on; port 0 picks a free port, which is printed"),
        )
        .arg(
            clap::Arg::new("writes")
                .long("writes-per-s")
                .default_value("500")
                .value_parser(clap::value_parser!(f64))
                .help("Rows and objects written per second; 0 for no limit"),
        )
        .arg(
            clap::Arg::new("reads")
                .long("reads-per-s")
                .default_value("2000")
                .value_parser(clap::value_parser!(f64))
                .help("Reads per second; 0 for no limit"),
        )
        .get_matches();
    let defaults = store_server::StoreRates::default();
    let rates = store_server::StoreRates {
        writes: matches.get_one("writes").copied().unwrap_or(defaults.writes),
        reads: matches.get_one("reads").copied().unwrap_or(defaults.reads),
    };
    let listen = matches.get_one::<net::SocketAddr>("listen").copied();
    let Some(listen) = listen else {
        return process::ExitCode::FAILURE;
    };
    let signals = signal_hook::iterator::Signals::new([signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("standin-store: signal handlers can't be installed: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    match store_server::StoreServer::start(listen, rates) {
        Ok(server) => {
            println!("listening {}", server.address());
            signals.forever().next();
            server.stop();
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("standin-store: can't listen on {listen}: {error}");
            process::ExitCode::FAILURE
        }
    }
}
