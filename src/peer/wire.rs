//! Digests as Cap'n Proto messages.

use {
    super::membership::{BeatFlags, HostBeat, HostCard, PeerDigest},
    crate::{peer_capnp, relay::CrashReport},
    capnp::{Error, Result, text},
    faststr::FastStr,
    std::net::SocketAddr,
};

const FLAG_LEAVING: u8 = 1;
const FLAG_PLATFORM_LOST: u8 = 2;

/// Hosts, engines or incarnations that a message may name at most.
const LIST_LIMIT: u32 = 1_024;

fn flags_byte(flags: BeatFlags) -> u8 {
    let leaving = if flags.leaving { FLAG_LEAVING } else { 0 };
    let lost = if flags.platform_lost {
        FLAG_PLATFORM_LOST
    } else {
        0
    };
    leaving | lost
}

fn read_flags(byte: u8) -> BeatFlags {
    BeatFlags {
        leaving: byte & FLAG_LEAVING != 0,
        platform_lost: byte & FLAG_PLATFORM_LOST != 0,
    }
}

fn read_text(text: text::Reader<'_>) -> Result<FastStr> {
    Ok(FastStr::new(text.to_str()?))
}

fn read_address(text: text::Reader<'_>) -> Result<SocketAddr> {
    text.to_str()?
        .parse()
        .map_err(|_| Error::failed("an address is not IP:port".into()))
}

fn check_length(length: u32) -> Result<()> {
    match length <= LIST_LIMIT {
        true => Ok(()),
        false => Err(Error::failed(format!("a list of {length} is too long"))),
    }
}

/// Writes a card.
pub fn write_card(mut to: peer_capnp::host_card::Builder<'_>, card: &HostCard) {
    to.set_incarnation(card.incarnation);
    to.set_name(card.name.as_str());
    to.set_zone(card.zone.as_str());
    to.set_peers(card.peers.to_string());
    to.set_callers(card.callers.to_string());
}

/// Reads a card.
pub fn read_card(from: peer_capnp::host_card::Reader<'_>) -> Result<HostCard> {
    Ok(HostCard {
        incarnation: from.get_incarnation(),
        name: read_text(from.get_name()?)?,
        zone: read_text(from.get_zone()?)?,
        peers: read_address(from.get_peers()?)?,
        callers: read_address(from.get_callers()?)?,
    })
}

/// Writes a digest.
pub fn write_digest(mut to: peer_capnp::digest::Builder<'_>, digest: &PeerDigest) {
    write_card(to.reborrow().init_sender(), &digest.sender);
    to.set_generation(digest.generation);
    to.set_servers_version(digest.servers_version);
    let mut beats = to.reborrow().init_beats(digest.beats.len() as u32);
    for (index, beat) in digest.beats.iter().enumerate() {
        let mut place = beats.reborrow().get(index as u32);
        place.set_incarnation(beat.incarnation);
        place.set_heartbeat(beat.heartbeat);
        place.set_flags(flags_byte(beat.flags));
    }
    let mut leaving = to.reborrow().init_leaving(digest.leaving.len() as u32);
    for (index, engine) in digest.leaving.iter().enumerate() {
        leaving.set(index as u32, engine.as_str());
    }
    if !digest.crashes.is_empty() {
        match serde_json::to_vec(&digest.crashes) {
            Ok(bytes) => to.set_crashes(&bytes),
            Err(error) => log::error!("marks of ended servers cannot be written: {error}"),
        }
    }
    let mut silent = to.init_silent(digest.silent.len() as u32);
    for (index, incarnation) in digest.silent.iter().enumerate() {
        silent.set(index as u32, *incarnation);
    }
}

fn read_crashes(bytes: &[u8]) -> Result<Vec<CrashReport>> {
    if bytes.is_empty() {
        return Ok(Vec::new());
    }
    serde_json::from_slice(bytes).map_err(|error| Error::failed(error.to_string()))
}

/// Reads a digest; one that is too long or not well formed is an error.
pub fn read_digest(from: peer_capnp::digest::Reader<'_>) -> Result<PeerDigest> {
    let beats = from.get_beats()?;
    let leaving = from.get_leaving()?;
    let silent = from.get_silent()?;
    check_length(beats.len())?;
    check_length(leaving.len())?;
    check_length(silent.len())?;
    let beats = beats
        .iter()
        .map(|beat| HostBeat {
            incarnation: beat.get_incarnation(),
            heartbeat: beat.get_heartbeat(),
            flags: read_flags(beat.get_flags()),
        })
        .collect();
    let leaving: Result<Vec<FastStr>> = leaving.iter().map(|name| read_text(name?)).collect();
    Ok(PeerDigest {
        sender: read_card(from.get_sender()?)?,
        beats,
        generation: from.get_generation(),
        servers_version: from.get_servers_version(),
        leaving: leaving?,
        silent: silent.iter().collect(),
        crashes: read_crashes(from.get_crashes()?)?,
    })
}
