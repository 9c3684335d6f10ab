//! Hosts that carry connections of this one to backend servers.

use {
    faststr::FastStr,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io,
        net::SocketAddr,
        rc::Rc,
    },
    tokio::net::TcpStream,
};

/// A host that carries connections of this one to backend servers.
#[derive(Debug)]
pub struct ConnectionCarrier {
    /// The host's name.
    pub name: FastStr,
    /// The address at which it accepts connections to carry.
    pub address: SocketAddr,
    // Its connections are not used for further requests.
    is_retired: Cell<bool>,
}

/// The host that carries a connection, and the connection's address at this host.
#[derive(Debug)]
pub struct CarrierLink {
    /// The host.
    pub carrier: Rc<ConnectionCarrier>,
    /// By which both hosts name the connection.
    pub local: SocketAddr,
}

impl CarrierLink {
    /// Whether the connection may be used for further requests.
    pub(super) fn is_usable(&self) -> bool {
        !self.carrier.is_retired.get()
    }
}

/// A connection to a server that was just opened.
#[derive(Debug)]
pub struct OpenedStream {
    /// The connection.
    pub stream: TcpStream,
    /// Name and address of the host that carries it; none if it was opened directly.
    pub carrier: Option<(FastStr, SocketAddr)>,
}

/// The hosts that carry open connections.
#[derive(Debug, Default)]
pub(super) struct CarrierSet(RefCell<HashMap<SocketAddr, Rc<ConnectionCarrier>>>);

impl CarrierSet {
    /// The link of a connection that was just opened, if a host carries it.
    pub(super) fn link(&self, opened: &OpenedStream) -> io::Result<Option<Rc<CarrierLink>>> {
        let Some((name, address)) = &opened.carrier else {
            return Ok(None);
        };
        let mut carriers = self.0.borrow_mut();
        let carrier = carriers.entry(*address).or_insert_with(|| {
            Rc::new(ConnectionCarrier {
                name: name.clone(),
                address: *address,
                is_retired: Cell::new(false),
            })
        });
        Ok(Some(Rc::new(CarrierLink {
            carrier: carrier.clone(),
            local: opened.stream.local_addr()?,
        })))
    }

    /// The hosts with open connections.
    pub(super) fn in_use(&self) -> Vec<Rc<ConnectionCarrier>> {
        let mut carriers = self.0.borrow_mut();
        carriers.retain(|_, carrier| Rc::strong_count(carrier) > 1);
        carriers.values().cloned().collect()
    }

    /// Makes the open connections of a host unusable for further requests.
    pub(super) fn retire(&self, carrier: &ConnectionCarrier) {
        carrier.is_retired.set(true);
        self.0.borrow_mut().remove(&carrier.address);
    }
}
