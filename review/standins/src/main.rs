//! Cases of the review: `review-case NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod client;
mod http;
mod json;
mod record;
mod server;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = || -> std::io::Result<bool> {
        let record = record::Record::create(&Path::new(folder).join("record.txt"))?;
        record.say(&format!("case {name}, trouble {}", u8::from(trouble)));
        let held = match name.as_str() {
            "departed" => cases::departed(&record, trouble)?,
            "chunks" => cases::chunks(&record, trouble)?,
            "entry" => cases::entry(&record, trouble)?,
            "recover" => cases::recover(&record, trouble)?,
            "foreign" => cases::foreign(&record, trouble)?,
            "heads" => cases::heads(&record, trouble)?,
            "uploads" => cases::uploads(&record, trouble)?,
            _ => return Err(std::io::Error::other("no such case")),
        };
        record.say(if held { "the rule held" } else { "the rule was broken" });
        Ok(held)
    };
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case can't run: {error}");
            ExitCode::from(2)
        }
    }
}
