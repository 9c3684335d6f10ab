# What entry hosts tell each other. Generated code: peer_capnp.rs, made with
#   capnp compile -orust:src/peer --src-prefix=src/peer src/peer/peer.capnp
@0xb8c1f7a2d93e4650;

struct HostBeat {
  # What changes of a host: sent in every exchange.
  incarnation @0 :UInt64;
  heartbeat @1 :UInt32;
  flags @2 :UInt8;
}

struct HostCard {
  # What stays as it is for an incarnation: sent once, to whoever asks.
  incarnation @0 :UInt64;
  name @1 :Text;
  zone @2 :Text;
  peers @3 :Text;
  callers @4 :Text;
}

struct Digest {
  # The sender, whom the receiver may not know yet.
  sender @0 :HostCard;
  beats @1 :List(HostBeat);
  # Generation of the accepted configuration that the sender has.
  generation @2 :UInt64;
  # Version of the list of servers that the sender has.
  serversVersion @3 :UInt64;
  # Engines that said lately that they leave.
  leaving @4 :List(Text);
  # Incarnations of other zones' hosts that were silent too long there.
  silent @5 :List(UInt64);
  # JSON: what the sender knows of requests that end their servers; empty where it knows of none.
  crashes @6 :Data;
}

struct SharedState {
  # JSON, empty where the asker has it already.
  config @0 :Data;
  servers @1 :Data;
}

interface Peer {
  exchange @0 (digest :Digest) -> (digest :Digest);
  cards @1 (incarnations :List(UInt64)) -> (cards :List(HostCard));
  # Versions of 0 ask for the whole.
  state @2 (generation :UInt64, serversVersion :UInt64, sourceVersion :UInt64)
    -> (state :SharedState);
}
