//! Tests of membership.

use {
    super::membership::{
        BeatFlags, HostBeat, HostCard, MemberChange, Membership, PeerDigest, SilenceLimits,
    },
    faststr::FastStr,
    std::{net::SocketAddr, time::Duration},
};

fn card(incarnation: u64) -> HostCard {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    HostCard {
        incarnation,
        name: FastStr::from_string(format!("h{incarnation}")),
        zone: FastStr::from_static_str("z"),
        peers: address,
        callers: address,
    }
}

fn digest(sender: u64, beats: &[(u64, u32)]) -> PeerDigest {
    let beats = beats.iter().map(|(incarnation, heartbeat)| HostBeat {
        incarnation: *incarnation,
        heartbeat: *heartbeat,
        flags: BeatFlags::default(),
    });
    PeerDigest {
        sender: card(sender),
        beats: beats.collect(),
        generation: 0,
        servers_version: 0,
        leaving: Vec::new(),
        silent: Vec::new(),
        crashes: Vec::new(),
    }
}

fn members() -> Membership {
    let limits = SilenceLimits {
        suspect: Duration::from_secs(5),
        sweep: Duration::from_secs(8),
    };
    Membership::new(card(1), limits)
}

// Found by `bayplank peers --hosts 60`: a host heard of by others first stayed out of the snapshot.
#[test]
fn a_host_that_is_met_after_it_was_heard_of_is_a_change() {
    let mut members = members();
    let now = Duration::from_secs(1);
    members.take(&digest(2, &[(2, 1), (3, 4)]), now);
    assert_eq!(members.strangers(), [3]);
    assert_eq!(members.live().count(), 1);
    let changes = members.take(&digest(3, &[(3, 4)]), now);
    assert_eq!(changes, [MemberChange::Met(3)]);
    assert_eq!(members.live().count(), 2);
}

#[test]
fn a_host_that_was_forgotten_does_not_come_back_by_hearsay() {
    let mut members = members();
    members.take(&digest(2, &[(2, 9)]), Duration::from_secs(1));
    let late = Duration::from_secs(700);
    assert!(members.tick(late).contains(&MemberChange::Forgotten(2)));
    let told = members.digest(true, 0, 0, Vec::new(), late);
    assert_eq!(told.beats.len(), 1, "only its own");
}
