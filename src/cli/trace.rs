//! `bayplank trace`: one request's story from the log lines of any number of hosts.

use {
    super::exit::{self, CommandResult},
    eyre::{WrapErr, eyre},
    pico_args::Arguments,
    std::io::{self, BufRead},
};

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

/// The lines that speak of a request, by time.
pub fn request_story<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let field = format!("request={id}");
    let mut story: Vec<&str> = lines
        .filter(|line| line.split_whitespace().any(|word| word == field))
        .collect();
    story.sort_by_key(|line| field_of(line, "time="));
    story
}

fn field_of<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(name))
}
