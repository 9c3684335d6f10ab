//! `bayplank check`: checks settings and objects without applying them.

use {
    super::{
        daemon,
        exit::{self, CommandFailure, CommandResult},
    },
    crate::{
        conf::HostSettings,
        object::{AnyObject, ObjectFault, ObjectSet},
    },
    eyre::{WrapErr, eyre},
    pico_args::Arguments,
};

/// Runs the command.
pub fn run(mut arguments: Arguments) -> CommandResult {
    let mut files: Vec<String> = Vec::new();
    while let Some(file) = arguments.opt_free_from_str()? {
        files.push(file);
    }
    exit::finish(arguments)?;
    if files.is_empty() {
        return Err(exit::usage("check: name at least one file"));
    }
    let (objects, settings): (Vec<&String>, Vec<&String>) =
        files.iter().partition(|file| file.ends_with(".json"));
    for file in settings {
        HostSettings::load(file).map_err(|faults| daemon::report_faults(&faults))?;
        println!("{file}: settings are right");
    }
    if objects.is_empty() {
        return Ok(());
    }
    // Objects of several files are one set, as they are at the platform.
    let mut all = Vec::new();
    for file in &objects {
        all.extend(read_objects(file)?);
    }
    ObjectSet::read(&all).map_err(|faults| report_objects(&faults))?;
    println!("{} objects: the set is right", all.len());
    Ok(())
}

/// Reads a file of objects: one, or a list.
pub fn read_objects(file: &str) -> Result<Vec<AnyObject>, CommandFailure> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{file}: cannot be read"))?;
    let objects = match text.trim_start().starts_with('[') {
        true => serde_json::from_str(&text),
        false => serde_json::from_str(&text).map(|object| vec![object]),
    };
    let objects = objects.wrap_err_with(|| format!("{file}: is no list of objects"))?;
    Ok(objects)
}

/// All faults of a set of objects in one report.
pub fn report_objects(faults: &[ObjectFault]) -> eyre::Report {
    let lines: Vec<String> = faults.iter().map(ObjectFault::to_string).collect();
    eyre!(lines.join("\n"))
}
