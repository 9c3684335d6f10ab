//! Encoding of requests for pieces of a configuration.

use {
    crate::{
        news_capnp::news_peer,
        relay::pieces::{NAME_BYTES, PieceName},
    },
    bytes::Bytes,
    capnp::{Error, Result},
    std::{net::SocketAddr, time::Duration},
};

/// A request for pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceRequest {
    /// The names of the pieces.
    pub names: Vec<PieceName>,
    /// The address at which the requester answers requests of other hosts, if known.
    pub peers: Option<SocketAddr>,
}

/// The response to a request for pieces.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PieceAnswer {
    /// The pieces, compressed.
    pub pieces: Vec<Bytes>,
    /// How long the sender has no time for further pieces; none if it has.
    pub busy: Option<Duration>,
    /// Hosts that it has sent pieces to.
    pub others: Vec<SocketAddr>,
}

/// Encodes a request.
pub fn write_request(mut to: news_peer::fetch_params::Builder<'_>, request: &PieceRequest) {
    let names = request.names.iter().flat_map(|name| *name.as_bytes());
    to.set_names(&names.collect::<Vec<u8>>());
    if let Some(address) = request.peers {
        to.set_peers(address.to_string());
    }
}

/// Decodes a request; fails if it is malformed.
pub fn read_request(from: news_peer::fetch_params::Reader<'_>) -> Result<PieceRequest> {
    let (names, rest) = from.get_names()?.as_chunks::<NAME_BYTES>();
    if !rest.is_empty() {
        return Err(Error::failed("half a name of a piece".into()));
    }
    let names = names.iter().copied().map(PieceName::from_bytes);
    Ok(PieceRequest {
        names: names.collect(),
        // Only needed to name the requester to others.
        peers: from.get_peers()?.to_str()?.parse().ok(),
    })
}

/// Encodes a response.
pub fn write_answer(mut to: news_peer::fetch_results::Builder<'_>, answer: &PieceAnswer) {
    let mut pieces = to.reborrow().init_pieces(answer.pieces.len() as u32);
    for (index, piece) in answer.pieces.iter().enumerate() {
        pieces.set(index as u32, piece);
    }
    let busy = answer.busy.map_or(0, |wait| wait.as_millis().max(1));
    to.set_busy_ms(u32::try_from(busy).unwrap_or(u32::MAX));
    let mut others = to.init_others(answer.others.len() as u32);
    for (index, address) in answer.others.iter().enumerate() {
        others.set(index as u32, address.to_string());
    }
}

/// Decodes a response; fails if it is malformed.
pub fn read_answer(from: news_peer::fetch_results::Reader<'_>) -> Result<PieceAnswer> {
    let pieces = from.get_pieces()?.iter();
    let pieces = pieces.map(|piece| Ok(Bytes::copy_from_slice(piece?)));
    let busy_ms = from.get_busy_ms();
    let mut others = Vec::new();
    for address in from.get_others()?.iter() {
        others.extend(address?.to_str()?.parse::<SocketAddr>());
    }
    Ok(PieceAnswer {
        pieces: pieces.collect::<Result<_>>()?,
        busy: (busy_ms > 0).then(|| Duration::from_millis(u64::from(busy_ms))),
        others,
    })
}
