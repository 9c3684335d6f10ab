//! Configurations in pieces: what a change costs, and that only whole, newer versions come in force.

mod config_model;

use {
    crate::config_model::{
        announce, config, config_of, host_with, in_force, route, send_message, transfer,
    },
    bayplank::relay::{
        ByteBudget, ClusterState, PIECES_BYTES, PastTime, PieceError, PieceSources,
        REQUESTED_PIECES, RelayConfig, RelayRoute,
    },
    bolero::check,
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_changed_route_costs_the_same_whatever_the_size_of_the_configuration() {
    for count in [250, 5_000, 10_000] {
        let mut later = config_of(8, count);
        later.routes[count / 2] = route(count / 2, millis(9_000));
        let sender = host_with(later.clone());
        let mut follower = host_with(config_of(7, count));
        let cost = transfer(&sender, &mut follower);
        assert!(cost.bytes < 1_500, "{cost:?} for {count} routes");
        assert_eq!(in_force(&follower), later);
    }
}

#[test]
fn a_host_several_versions_behind_fetches_what_differs_from_the_newest_alone() {
    let count = 5_000;
    let mut newest = config_of(1, count);
    let mut sender = host_with(newest.clone());
    let mut follower = host_with(newest.clone());
    for version in 2..12 {
        newest.version = version;
        newest.routes[count / 2] = route(count / 2, millis(version));
        sender.update_config(newest.clone());
    }
    let cost = transfer(&sender, &mut follower);
    assert!(cost.bytes < 1_500, "{cost:?}");
    assert_eq!(in_force(&follower), newest);
}

#[test]
fn a_whole_configuration_is_sent_in_messages_of_bounded_size() {
    for count in [1_000, 10_000] {
        let sender = host_with(config_of(3, count));
        let mut follower = ClusterState::default();
        announce(&sender, &mut follower, Duration::ZERO);
        loop {
            let bytes = send_message(&sender, &mut follower);
            if bytes == 0 {
                break;
            }
            assert!(bytes < 20 << 10, "{bytes} bytes of {count} routes");
        }
        assert_eq!(follower.config.complete(), Ok(Some(3)));
        assert_eq!(in_force(&follower), config_of(3, count));
    }
}

// Routes and accounts may change in any way: added at the front, removed, reordered, all changed at once.
#[test]
fn however_two_versions_differ_a_transfer_yields_the_later_one() {
    check!()
        .with_iterations(100)
        .with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>)>()
        .for_each(|(earlier, later)| {
            let routes = |list: &[(u8, u8)]| -> Vec<Rc<RelayRoute>> {
                let routes = list.iter();
                let routes = routes
                    .map(|(index, time)| route(usize::from(*index), millis(u64::from(*time))));
                routes.collect()
            };
            let sender = host_with(config(2, routes(later)));
            let mut follower = host_with(config(1, routes(earlier)));
            transfer(&sender, &mut follower);
            assert_eq!(in_force(&follower), config(2, routes(later)));
        });
}

#[test]
fn pieces_are_kept_when_a_newer_version_appears() {
    let base = config_of(1, 4_000);
    let mut sender = host_with(base.clone());
    let mut follower = ClusterState::default();
    announce(&sender, &mut follower, Duration::ZERO);
    let mut received = 0;
    for _ in 0..4 {
        received += send_message(&sender, &mut follower);
    }
    let mut newer = base.clone();
    newer.version = 2;
    newer.routes[3_999] = route(3_999, millis(1));
    sender.update_config(newer.clone());
    let whole = transfer(&sender, &mut ClusterState::default());
    let rest = transfer(&sender, &mut follower);
    assert!(
        rest.bytes + received < whole.bytes + 3_000,
        "{rest:?} after {received} of {whole:?}"
    );
    assert_eq!(in_force(&follower), newer);
}

#[test]
fn versions_that_follow_each_other_faster_than_a_transfer_do_not_starve_it() {
    let mut newest = config_of(1, 4_000);
    let mut sender = host_with(newest.clone());
    let mut follower = ClusterState::default();
    for version in 2..60 {
        newest.version = version;
        newest.routes[(version as usize * 37) % 4_000] = route(0, millis(version));
        sender.update_config(newest.clone());
        announce(&sender, &mut follower, Duration::ZERO);
        send_message(&sender, &mut follower);
        if follower
            .config
            .missing(1)
            .is_some_and(|names| names.is_empty())
        {
            follower.config.complete().expect("the pieces fit");
        }
    }
    assert!(
        follower.config_version() > 30,
        "{}",
        follower.config_version()
    );
}

/// One step of a random exchange between hosts.
#[derive(Debug, Clone, Copy, bolero::TypeGenerator)]
enum Step {
    /// The store accepts a version in which some routes are others; a host reads it.
    Change { reader: u8, first: u8, count: u8 },
    /// A host names its newest version to another.
    Announce { from: u8, to: u8 },
    /// A host requests pieces from another; some are lost, and some arrive twice.
    Fetch {
        from: u8,
        to: u8,
        lost: u8,
        twice: bool,
    },
    /// A host starts again without any data.
    Restart { host: u8 },
}

const HOSTS: usize = 4;

#[test]
fn only_whole_versions_come_in_force_in_rising_order_and_the_last_one_does() {
    check!()
        .with_iterations(60)
        .with_type::<Vec<Step>>()
        .for_each(|steps| {
            let mut accepted = BTreeMap::from([(1, config_of(1, 60))]);
            let mut hosts: Vec<ClusterState> =
                (0..HOSTS).map(|_| host_with(config_of(1, 60))).collect();
            for step in steps {
                play(*step, &mut hosts, &mut accepted);
                for host in hosts.iter().filter(|host| host.config_version() > 0) {
                    assert_eq!(Some(&in_force(host)), accepted.get(&host.config_version()));
                }
            }
            let (last, newest) = accepted.last_key_value().expect("a version");
            let sender = host_with(newest.clone());
            for mut host in hosts {
                if host.config_version() < *last {
                    host.config.abandon();
                    transfer(&sender, &mut host);
                }
                assert_eq!(in_force(&host), *newest);
            }
        });
}

fn play(step: Step, hosts: &mut [ClusterState], accepted: &mut BTreeMap<u64, RelayConfig>) {
    let at = |number: u8| usize::from(number) % HOSTS;
    match step {
        Step::Change {
            reader,
            first,
            count,
        } => {
            let (first, count) = (first % 64, count % 32);
            let (last, newest) = accepted.last_key_value().expect("a version");
            let (version, mut newest) = (last + 1, newest.clone());
            newest.version = version;
            let routes = newest.routes.iter_mut().enumerate();
            for (index, changed) in routes.skip(first.into()).take(count.into()) {
                *changed = route(index, millis(version));
            }
            newest.routes.truncate(1 + usize::from(first));
            newest
                .routes
                .extend((0..usize::from(count)).map(|index| route(index, millis(9))));
            assert!(hosts[at(reader)].update_config(newest.clone()));
            accepted.insert(version, newest);
        }
        Step::Announce { from, to } => {
            let root = hosts[at(from)].config.newest_root().cloned();
            let now = Duration::ZERO;
            if let Some(root) = root {
                hosts[at(to)].config.announce(root, PastTime::at(now), now);
            }
        }
        Step::Fetch {
            from,
            to,
            lost,
            twice,
        } => {
            let names = hosts[at(to)]
                .config
                .missing(REQUESTED_PIECES)
                .unwrap_or_default();
            let pieces = hosts[at(from)].config.pieces(&names, PIECES_BYTES);
            let receiver = &mut hosts[at(to)];
            for (index, piece) in pieces.into_iter().enumerate().rev() {
                let copies = if twice { 2 } else { 1 };
                for _ in (0..copies).filter(|_| index != usize::from(lost)) {
                    receiver.config.add_piece(piece.clone()).expect("a piece");
                }
            }
            if receiver
                .config
                .missing(1)
                .is_some_and(|names| names.is_empty())
            {
                receiver.config.complete().expect("the pieces fit");
            }
        }
        Step::Restart { host } => hosts[at(host)] = ClusterState::default(),
    }
}

#[test]
fn an_incomplete_version_does_not_come_in_force() {
    let sender = host_with(config_of(2, 3_000));
    let mut follower = host_with(config_of(1, 10));
    announce(&sender, &mut follower, Duration::ZERO);
    send_message(&sender, &mut follower);
    assert!(matches!(
        follower.config.complete(),
        Err(PieceError::Missing(_))
    ));
    assert_eq!(in_force(&follower), config_of(1, 10));
}

#[test]
fn damaged_pieces_are_rejected() {
    let sender = host_with(config_of(2, 100));
    let mut follower = ClusterState::default();
    announce(&sender, &mut follower, Duration::ZERO);
    let names = follower.config.missing(1).expect("a transfer");
    let piece = sender.config.pieces(&names, 1).remove(0);
    check!()
        .with_iterations(100)
        .with_type::<(u16, u8)>()
        .for_each(|(at, with)| {
            let mut bytes = piece.to_vec();
            let at = usize::from(*at) % bytes.len();
            bytes[at] ^= (*with).max(1);
            let mut other = ClusterState::default();
            announce(&sender, &mut other, Duration::ZERO);
            // Either it cannot be read, or it is another piece than the one that was requested.
            let _ = other.config.add_piece(bytes.into());
            let missing = other.config.missing(1).expect("a transfer");
            let is_same = missing != names;
            assert!(!is_same || !other.config.pieces(&names, 1).is_empty());
        });
}

#[test]
fn an_announced_version_that_no_host_confirms_any_more_is_given_up() {
    let sender = host_with(config_of(2, 100));
    let root = sender
        .config
        .newest_root()
        .expect("a configuration")
        .clone();
    let mut follower = host_with(config_of(1, 100));
    assert!(
        follower
            .config
            .announce(root.clone(), PastTime::at(millis(1_000)), millis(1_000))
    );
    follower
        .config
        .confirm_version(2, PastTime::at(millis(6_000)));
    assert_eq!(follower.config.expire(millis(15_000)), None);
    assert_eq!(follower.config.expire(millis(17_000)), Some(2));
    assert_eq!(follower.config.known_version(), 1);
    assert_eq!(follower.config.behind_since(), None);
    // Another host that still believes in it passes it on with its age.
    assert!(
        !follower
            .config
            .announce(root, PastTime::at(millis(6_000)), millis(17_100))
    );
}

#[test]
fn a_host_is_behind_from_the_first_newer_version_on_until_it_has_the_newest() {
    let mut sender = host_with(config_of(2, 100));
    let mut follower = host_with(config_of(1, 100));
    announce(&sender, &mut follower, millis(1_000));
    sender.update_config(config_of(3, 120));
    announce(&sender, &mut follower, millis(2_000));
    assert_eq!(follower.config.behind_since(), Some(millis(1_000)));
    follower.update_config(config_of(2, 100));
    assert_eq!(follower.config.behind_since(), Some(millis(2_000)));
    transfer(&sender, &mut follower);
    assert_eq!(follower.config.behind_since(), None);
}

#[test]
fn pieces_take_at_most_half_of_a_link() {
    let mut budget = ByteBudget::of_link(10);
    let mut now = Duration::ZERO;
    let mut sent = 0;
    while now < Duration::from_secs(4) {
        let wait = budget.wait(now);
        if wait.is_zero() {
            budget.take(16 << 10);
            sent += 16 << 10;
        }
        now += wait.max(millis(1));
    }
    let half = 4 * 10 * 125_000 / 2;
    assert!(sent < half + (100 << 10), "{sent} bytes");
    assert!(sent > half - (100 << 10), "{sent} bytes");
}

#[test]
fn hosts_that_are_busy_silent_or_without_pieces_are_skipped_for_a_while() {
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let further = || [address(9)].into_iter();
    let mut sources = PieceSources::default();
    sources.set_announcer(address(1));
    assert_eq!(sources.choose(further(), millis(0)), Some(address(1)));
    sources.note_busy(address(1), millis(50), &[address(2), address(3)], millis(0));
    assert_eq!(sources.choose(further(), millis(1)), Some(address(3)));
    sources.note_unanswered(address(3), millis(1));
    assert_eq!(sources.choose(further(), millis(1)), Some(address(2)));
    sources.note_without_pieces(address(2), millis(1));
    assert_eq!(sources.choose(further(), millis(2)), Some(address(9)));
    assert_eq!(sources.choose(further(), millis(60)), Some(address(1)));
}
