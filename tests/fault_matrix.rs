//! The fault matrix: every fault at every step of a request's, an intent's, a lease's and a key's
//! life, driven through the state machines. `docs/faults.md` is made from it; a test compares.
//!
//! `BAYPLANK_WRITE_DOCS=1 cargo test --test fault_matrix` writes the page anew.

mod matrix;

use {
    matrix::{FaultCell, intents, keys, leases, requests},
    std::fmt::Write,
};

const PAGE: &str = "docs/faults.md";

fn cells() -> Vec<FaultCell> {
    let mut cells = requests::cells();
    cells.extend(intents::cells());
    cells.extend(leases::cells());
    cells.extend(keys::cells());
    cells
}

fn page(cells: &[FaultCell]) -> String {
    let mut page = String::from(
        "# Faults\n\n\
         What becomes of a request, an intent, a lease or a key when a fault meets it at a step. Made\n\
         from the fault matrix in `tests/matrix/`, whose every cell is run; a test compares.\n",
    );
    let mut life = "";
    for cell in cells {
        if cell.life != life {
            life = cell.life;
            write!(
                page,
                "\n## {life}\n\n| step | fault | what becomes of it |\n| --- | --- | --- |\n"
            )
            .expect("writing to a string");
        }
        let FaultCell {
            step,
            fault,
            expected,
            ..
        } = cell;
        writeln!(page, "| {step} | {fault} | {expected} |").expect("writing to a string");
    }
    page
}

#[test]
fn every_cell_ends_as_expected() {
    let cells = cells();
    let wrong: Vec<String> = cells
        .iter()
        .filter(|cell| cell.found != cell.expected)
        .map(|cell| {
            let FaultCell {
                life,
                step,
                fault,
                expected,
                found,
            } = cell;
            format!("{life} / {step} / {fault}:\n  expected {expected}\n  found    {found}")
        })
        .collect();
    assert!(
        wrong.is_empty(),
        "{} of {} cells:\n{}",
        wrong.len(),
        cells.len(),
        wrong.join("\n")
    );
}

#[test]
fn the_page_shows_the_matrix() {
    let page = page(&cells());
    if std::env::var_os("BAYPLANK_WRITE_DOCS").is_some() {
        std::fs::write(PAGE, &page).expect("the page is written");
    }
    let shown = std::fs::read_to_string(PAGE).unwrap_or_default();
    assert_eq!(
        shown, page,
        "{PAGE} is not the matrix; see the head of this file"
    );
}
