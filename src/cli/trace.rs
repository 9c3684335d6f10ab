//! `bayplank trace`: one request's story from the log lines of any number of hosts.

use {
    super::exit::{self, CommandResult},
    eyre::{WrapErr, eyre},
    pico_args::Arguments,
    std::io::{self, BufRead},
};

// The field by which two hosts name a connection that one carries for the other, and the line of the one that does.
const CONNECTION: &str = "connection=";
const CARRIED_LINE: &str = "name=connection-carried";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> CommandResult {
    let id: Option<String> = arguments.opt_free_from_str()?;
    exit::finish(arguments)?;
    let Some(id) = id else {
        return Err(exit::usage("trace: name a request's id"));
    };
    let mut lines = Vec::new();
    for line in io::stdin().lock().lines() {
        lines.push(line.wrap_err("the log on standard input")?);
    }
    let story = request_story(&id, lines.iter().map(String::as_str));
    if story.is_empty() {
        return Err(eyre!("no line on standard input speaks of request {id}").into());
    }
    for line in story {
        println!("{line}");
    }
    Ok(())
}

/// The lines that speak of a request, or of a connection that another host carried for it, by time.
pub fn request_story<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let field = format!("request={id}");
    let speaks_of = |line: &str, field: &str| line.split_whitespace().any(|word| word == field);
    let lines: Vec<&str> = lines.collect();
    let own: Vec<&str> = lines
        .iter()
        .copied()
        .filter(|line| speaks_of(line, &field))
        .collect();
    let connections = own.iter().filter_map(|line| field_of(line, CONNECTION));
    let connections: Vec<String> = connections
        .map(|name| format!("{CONNECTION}{name}"))
        .collect();
    let mut story = lines;
    story.retain(|line| {
        let is_carried = speaks_of(line, CARRIED_LINE);
        let mut connections = connections.iter();
        speaks_of(line, &field) || is_carried && connections.any(|name| speaks_of(line, name))
    });
    story.sort_by_key(|line| field_of(line, "time="));
    story
}

fn field_of<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(name))
}
