//! What ships beside the code is right: settings, sample objects, pages made from the code; and what
//! is wrong is named.

use {
    bayplank::{
        cli,
        conf::{DEFAULT_SETTINGS, HostSettings, KEYS},
        event::{CATALOGUE, catalogue_page},
        object::{AnyObject, ObjectSet},
    },
    std::{collections::BTreeSet, fs},
};

const EVENTS_PAGE: &str = "docs/events.md";

#[test]
fn the_default_settings_show_every_key_once() {
    let ini = ini::Ini::load_from_str(DEFAULT_SETTINGS).expect("an INI file");
    let mut shown = Vec::new();
    for (section, values) in &ini {
        let section = section.unwrap_or_default();
        shown.extend(values.iter().map(|(key, _)| format!("{section}.{key}")));
    }
    let known: Vec<String> = KEYS
        .iter()
        .map(|key| format!("{}.{}", key.section, key.name))
        .collect();
    assert_eq!(shown, known);
    assert_eq!(
        HostSettings::parse("shipped", DEFAULT_SETTINGS),
        Ok(HostSettings::default())
    );
}

#[test]
fn wrong_settings_are_named_by_file_section_and_key() {
    let fault = |text: &str| {
        let faults = HostSettings::parse("host.ini", text).expect_err("wrong settings");
        faults
            .iter()
            .map(|fault| fault.to_string())
            .collect::<Vec<_>>()
            .join("\n")
    };
    let cases = [
        ("[host]\nnmae = x\n", "host.ini: [host] nmae: unknown key"),
        (
            "[hots]\nname = x\n",
            "host.ini: [hots] name: unknown section",
        ),
        (
            "[callers]\nbody_limit = 2 miles\n",
            "host.ini: [callers] body_limit: expected a size",
        ),
        (
            "[callers]\nbody_limit = 2 B\n",
            "host.ini: [callers] body_limit: expected a size",
        ),
        (
            "[targets]\nfirst_token = 2\n",
            "host.ini: [targets] first_token: expected a time",
        ),
        (
            "[listen]\ncallers = here\n",
            "host.ini: [listen] callers: expected IP:port",
        ),
        (
            "[callers]\nremember = 60 s\n",
            "host.ini: [callers] remember: expected a time",
        ),
        (
            "[route]\npolicy = best\n",
            "host.ini: [route] policy: unknown policy",
        ),
        (
            "[route]\nmargin = 2 s\n",
            "host.ini: [route] margin: leaves nothing",
        ),
        (
            "[listen]\npeers = 127.0.0.1:8080\n",
            "host.ini: [listen] peers: is also the address",
        ),
    ];
    for (text, expected) in cases {
        let found = fault(text);
        assert!(found.starts_with(expected), "{found}");
    }
}

#[test]
fn deployments_and_samples_pass_the_checks() {
    for folder in ["deploy/coastal-lens", "deploy/lintas"] {
        for entry in fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            let text = fs::read_to_string(&path).expect("a file");
            if path.extension().is_some_and(|ending| ending == "ini") {
                HostSettings::parse(folder, &text).expect("settings");
            } else {
                let objects: Vec<AnyObject> = serde_json::from_str(&text).expect("objects");
                ObjectSet::read(&objects).expect("a set");
            }
        }
    }
    ObjectSet::read(&cli::demo_objects()).expect("a set");
}

#[test]
fn wrong_objects_are_named_by_kind_name_and_field() {
    let mut objects = cli::demo_objects();
    let change = |objects: &mut Vec<AnyObject>, name: &str, field: &str, value| {
        let mut found = objects
            .iter_mut()
            .filter(|object| object.metadata.name == name);
        found.next().expect("an object").spec[field] = value;
    };
    change(&mut objects, "specs", "priority", 12.into());
    change(&mut objects, "orderdesk", "path", "orderdesk".into());
    change(
        &mut objects,
        "lensmodel-decode",
        "selector",
        serde_json::json!({}),
    );
    change(
        &mut objects,
        "lintas",
        "limits",
        serde_json::json!({"concurrent": 0}),
    );
    let faults = ObjectSet::read(&objects).expect_err("faults");
    let shown: BTreeSet<String> = faults
        .iter()
        .map(|fault| format!("{}/{} {}", fault.kind, fault.name, fault.field))
        .collect();
    let expected = [
        "Pool/lensmodel-decode spec.selector",
        "RoutingIntent/specs spec.priority",
        "Service/orderdesk spec.path",
        "Tenant/lintas spec.limits.concurrent",
    ];
    assert_eq!(shown, expected.map(str::to_owned).into());
}

#[test]
fn the_events_page_shows_the_catalogue() {
    let page = catalogue_page();
    if std::env::var_os("BAYPLANK_WRITE_DOCS").is_some() {
        fs::write(EVENTS_PAGE, &page).expect("the page is written");
    }
    let shown = fs::read_to_string(EVENTS_PAGE).unwrap_or_default();
    assert_eq!(
        shown, page,
        "BAYPLANK_WRITE_DOCS=1 cargo test --test shipped writes it"
    );
    let numbers: BTreeSet<u16> = CATALOGUE.iter().map(|kind| kind.number).collect();
    assert_eq!(
        numbers.len(),
        CATALOGUE.len(),
        "every event has a number of its own"
    );
}
