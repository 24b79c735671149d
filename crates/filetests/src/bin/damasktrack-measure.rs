//! Prints measured figures of the decisions under load, one JSON object a line.

use std::io::Write as _;

use damasktrack_filetests::measure_cases;

fn main() -> std::io::Result<()> {
    let matches = clap::Command::new("damasktrack-measure")
        .about("Measures the decisions under load on virtual time, without control, with limits per hop and with damasktrack")
        .arg(clap::Arg::new("name").num_args(0..).value_parser(measure_cases::NAMES))
        .arg(clap::Arg::new("seed").long("seed").value_parser(clap::value_parser!(u32)).default_value("1"))
        .get_matches();
    let seed = matches.get_one::<u32>("seed").copied().unwrap_or(1);
    let mut names: Vec<&str> = matches
        .get_many::<String>("name")
        .into_iter()
        .flatten()
        .map(String::as_str)
        .collect();
    if names.is_empty() {
        names.extend(measure_cases::NAMES);
    }
    let mut result = Ok(());
    for name in names {
        measure_cases::measure(name, seed, &mut |figure| {
            let line = serde_json::to_string(&figure).map_err(std::io::Error::from);
            let written = line.and_then(|line| writeln!(std::io::stdout(), "{line}"));
            if result.is_ok() {
                result = written;
            }
        });
    }
    result
}
