# Calls and messages between hosts. Generated code: news_capnp.rs, made with
#   capnp compile -orust:src/relay/news --src-prefix=src/relay/news src/relay/news/news.capnp
@0xd41f6c0e5a7b9823;

struct HeldNews {
  # What the requester already has; 0 for what it needs in full. Revisions are encoded positions: the era of the store
  # in the upper 24 bits, the revision in the lower 40.
  configVersion @0 :UInt64;
  backendsRevision @1 :UInt64;
  hostsRevision @2 :UInt64;
  # The requester cannot read the configuration from the store, so it is sent even if it is large.
  wantsConfig @3 :Bool;
  # How long the request may be held until there is something newer.
  waitMs @4 :UInt32;
  # The requester has just started and knows no hosts. In a large fleet the response then only contains the hosts to
  # follow.
  isStarting @5 :Bool;
  # The requester's availability zone.
  zone @6 :Text;
  # Address of the requester's server as ADDRESS:PORT, so that a receiver whose view is incomplete can poll it in turn.
  peers @7 :Text;
  # Id of the receiver's crash record cache, and the revision of it up to which the requester has the records.
  crashBook @8 :UInt64;
  crashRevision @9 :UInt64;
  # The same for the receiver's cache of rate-limited servers.
  limitBook @10 :UInt64;
  limitRevision @11 :UInt64;
  # The requester reads tables of changes and lists in parts.
  readsParts @12 :Bool;
  # Of the list of backend servers that it is receiving in parts: encoded position of the sender at the first part, and
  # the id of the last entry; empty if it has none.
  partRevision @13 :UInt64;
  partAfter @14 :Text;
  # The latest position of a sender of a part.
  partLatest @15 :UInt64;
  # Encoded position up to which the requester knows the evacuations of zones.
  evacuationsRevision @16 :UInt64;
  # The latest version of the configuration that the requester knows of, which it may still be fetching.
  knownVersion @17 :UInt64;
  # The requester fetches configurations in pieces.
  readsPieces @18 :Bool;
}

# What a rate-limited server reported.
struct LimitUpdate {
  # Hash of the id of the server's run.
  server @0 :UInt32;
  # Invalid if `contendedMs` is not zero; `ageMs` is the largest number then.
  saying @1 :LimitSaying;
  # How much longer the plain server is short of places.
  contendedMs @2 :UInt32;
}

# A run of a backend server that ended while it processed a request.
struct ServerEnd {
  # Hash of the run's id.
  run @0 :UInt32;
  ageMs @1 :UInt32;
  # The request has been processed successfully since.
  isExcused @2 :Bool;
}

# Crash record: what is known about a request during which servers ended, without any of its content.
struct CrashMark {
  # High and low half of the digest of the request, or of the part of prompts.
  high @0 :UInt64;
  low @1 :UInt64;
  ends @2 :List(ServerEnd);
  # How long ago each trial was.
  trialsMs @3 :List(UInt32);
  # How long ago it was last received.
  seenMs @4 :UInt32;
  isPart @5 :Bool;
}

struct KindNews {
  # Encoded store position up to which this goes.
  revision @0 :UInt64;
  # Whether the changes are the complete list of objects, which replaces what the requester has.
  isWhole @1 :Bool;
  # JSON, empty if nothing changed.
  changes @2 :Data;
  # Only with a complete list: JSON, runs that are known to be gone even if the list contains them; empty for none.
  departed @3 :Data;
  # JSON table in place of `changes`, for requesters that read it; empty if nothing changed.
  table @4 :Data;
  # A part of the complete list, with the changes since the first part if it is the last one. The list replaces what the
  # receiver has once all parts are there.
  isPart @5 :Bool;
  isLastPart @6 :Bool;
  # JSON table of the entries of the part, which follow this id in the list.
  entries @7 :Data;
  partAfter @8 :Text;
  # Encoded position of the sender at the first part.
  partRevision @9 :UInt64;
}

struct ClusterNews {
  # How long the sender's view may have been out of date; the largest number if it has none.
  ageMs @0 :UInt32;
  # How long ago the store recovered from an outage; the largest number if there was none.
  outageMs @1 :UInt32;
  configVersion @2 :UInt64;
  # JSON, empty if the requester has it or it is large.
  config @3 :Data;
  backends @4 :KindNews;
  hosts @5 :KindNews;
  # JSON, only for a host that starts in a large fleet: the hosts that it may follow, in order of preference.
  guides @6 :Data;
  # The store does not answer the sender, or the host that the sender follows.
  isLost @7 :Bool;
  # How long the request was held. Ages count from the end of that time, not from the arrival of the response.
  heldMs @8 :UInt32;
  # How long before that the sender's configuration was proved to be the newest; the largest number if unknown. Account
  # keys are accepted for a bounded time after the proof.
  proofMs @9 :UInt32;
  # The sender's crash records that the requester lacks, and the id and revision of its cache of them.
  crashes @10 :List(CrashMark);
  crashBook @11 :UInt64;
  crashRevision @12 :UInt64;
  # The same for the sender's cache of rate-limited servers.
  limits @13 :List(LimitUpdate);
  limitBook @14 :UInt64;
  limitRevision @15 :UInt64;
  # Earlier versions: the difference from a recent configuration. Not sent any more.
  configPatch @16 :Data;
  # The evacuations of zones.
  evacuations @17 :KindNews;
  # The latest version of the configuration that the sender knows of, and how long ago a host that has it confirmed it.
  knownVersion @18 :UInt64;
  knownAgeMs @19 :UInt32;
  # JSON, for requesters that fetch configurations in pieces and do not know that version: the names of its lists.
  configRoot @20 :Data;
  # Encoded store position up to which that version is the newest.
  configRevision @21 :UInt64;
  # The entries of backend servers name their software versions.
  tellsSoftware @22 :Bool;
}

# Kept to eight bytes, since reports are sent several times a second.
struct EngineLoad {
  # Hash of the id of the engine's run.
  key @0 :UInt32;
  # Memory, in blocks of 16 tokens, that running requests are expected to occupy when they end.
  memoryBlocks @1 :UInt16;
  # Number of hosts that skip the engine because it does not answer them.
  passedOver @2 :UInt16;
}

# Counts within the window of the retry budget.
struct ServiceDemand {
  service @0 :Text;
  requests @1 :UInt32;
  repeats @2 :UInt32;
}

# Units of an account: of a host, since its last report; of a ledger, since it was created. Modulo 2^32.
struct AccountUse {
  # Hash of the account's name.
  account @0 :UInt64;
  asked @1 :UInt32;
  taken @2 :UInt32;
  # Of a ledger: units used and not yet drained, as far as it knows.
  level @3 :UInt32;
}

# An account that is near its limit, so that its requests are charged at the zone's ledger.
struct NearAccount {
  account @0 :UInt64;
  # Share of the account's requests that fits into its limit, in units of 1/65535.
  share @1 :UInt16;
}

# Requests of a priority, and of an account if it is named, that wait for engine memory or use it.
struct PriorityLoad {
  service @0 :Text;
  priority @1 :UInt8;
  # Hash of the account's name; 0 for the sum of all accounts.
  account @2 :UInt64;
  # Requests that wait, and the tokens that they need.
  waiting @3 :UInt32;
  waitingTokens @4 :UInt32;
  # Tokens that running requests use, and tokens a second of requests that arrive.
  runningTokens @5 :UInt32;
  arrivingTokens @6 :UInt32;
}

struct LoadReport {
  loads @0 :List(EngineLoad);
  demands @1 :List(ServiceDemand);
  # Engines whose load the reporter needs in any case, because it works with them.
  wanted @2 :List(UInt32);
  uses @3 :List(AccountUse);
  near @4 :List(NearAccount);
  # Whether the ledger already knows which accounts are near their limits.
  knowsNear @5 :Bool;
  # In responses: the store does not answer the host that sums up the reports, or the host that it follows.
  isStoreLost @6 :Bool;
  # Work by priority, for services whose requests have several.
  priorities @7 :List(PriorityLoad);
}

# What a host's ledger has admitted for all hosts that use it.
struct LedgerSums {
  # Random id from the creation of the ledger, and how long ago that was.
  id @0 :UInt64;
  ageMs @1 :UInt64;
  # The availability zone of the host.
  zone @2 :Text;
  uses @3 :List(AccountUse);
}

# The rate limit that a backend server reported: requests per second from all hosts together.
struct LimitSaying {
  # Only valid if the server reported a limit.
  perSecond @0 :Float64;
  isNamed @1 :Bool;
  # How long ago the request was sent whose response contained the report.
  ageMs @2 :UInt32;
  # Requests a second that a cold server accepts from all hosts together, and for how much longer; zero if it is not cold.
  coldPerSecond @3 :Float64;
  coldMs @4 :UInt32;
}

# A request for a place at a plain server that is short of places.
struct PlaceRequest {
  # Hash of the id of the server's run.
  server @0 :UInt32;
  # Number of requests that the server processes concurrently.
  slots @1 :UInt16;
  # 0 is the most urgent.
  priority @2 :UInt8;
  # Whether it may wait for a place.
  mayWait @3 :Bool;
  # Time within which its response meets the latency target, and time until its deadline.
  inTimeMs @4 :UInt32;
  timeLeftMs @5 :UInt32;
  # Mean time in which the server answered the requester; zero if it is not known.
  serviceTimeUs @6 :UInt32;
}

# A place that is given back.
struct PlaceReturn {
  server @0 :UInt32;
  # Whether the server declined the request for lack of room.
  isDeclined @1 :Bool;
  lease @2 :UInt64;
  # Time in which the server answered the request; zero if it did not.
  answeredUs @3 :UInt32;
}

# Streams that began lately at servers of one service and software version.
struct StreamsOfVersion {
  service @0 :Text;
  # Name of the version; empty if the servers' entries name none.
  software @1 :Text;
  # For each stream its key, and in the other list for how much longer its caller may come back for it.
  keys @2 :List(UInt64);
  leftMs @3 :List(UInt32);
}

interface NewsPeer {
  follow @0 (held :HeldNews) -> (news :ClusterNews);
  # Exchanges the load of the reporter's requests for the load of all others' requests. A whole zone reports through one
  # of its hosts and receives the load of the other zone's hosts. A reporter also sends the age, version and position of
  # its view, so that a host that the store rejects knows which host to poll.
  share @1 (reporter :Text, isZone :Bool, report :LoadReport, ageMs :UInt32,
    configVersion :UInt64, backendsRevision :UInt64) -> (others :LoadReport);
  # Admits a request of an account, or returns the retry delay for its caller.
  charge @2 (account :UInt64, units :UInt32) -> (isLetIn :Bool, waitMs :UInt32);
  # Exchanges the requester's ledger totals for those of the receiver and of the ledgers that it heard from recently.
  exchange @3 (sums :LedgerSums) -> (sums :List(LedgerSums));
  # Sends crash records and rate-limited servers, either a host's own or those of the sender's whole zone.
  tellFindings @4 (marks :List(CrashMark), isZone :Bool, limits :List(LimitUpdate)) -> ();
  # Whether a request, or a part of prompts, that is considered fatal to servers may be tried; allowed once across all
  # hosts.
  allowTrial @5 (high :UInt64, low :UInt64, isPart :Bool) -> (isAllowed :Bool);
  # Requests permits at a rate-limited server from the host that allocates them for all hosts; returns the permits, or
  # when one is likely. The rank is the urgency of the request, 0 is the most urgent. With no permits wanted, the call
  # only passes on what the server reported. A forwarded request is not forwarded again.
  deal @6 (server :UInt32, wanted :UInt16, rank :UInt8, isPassedOn :Bool, saying :LimitSaying)
    -> (permits :UInt16, waitMs :UInt32, saying :LimitSaying);
  # Requests a place at a plain server from the host that leases them to all hosts, and gives back others. Returns the
  # lease, zero if it was refused; when the caller may come back, or how long the next request would wait; and how much
  # longer the server is short of places. A forwarded message is not forwarded again.
  lease @7 (request :PlaceRequest, hasRequest :Bool, returns :List(PlaceReturn), isPassedOn :Bool)
    -> (lease :UInt64, waitMs :UInt32, contendedMs :UInt32);
  # Requests pieces of a configuration by name, 16 bytes each. Returns those that the receiver has and that fit into one
  # message, compressed; or, if it sends pieces to many, when it will have time, and hosts that it has sent some to.
  # `peers` is the requester's own address as ADDRESS:PORT.
  fetch @8 (names :Data, peers :Text)
    -> (pieces :List(Data), busyMs :UInt32, others :List(Text));
  # Tells how streams began that the sender has begun.
  tellStreams @9 (streams :List(StreamsOfVersion)) -> ();
  # Asks how a stream began; the list is empty if the receiver does not know. Also returns the software versions of a
  # service that the receiver has seen lately, and for how long it has seen the lists of servers; `lacksVersions` tells
  # that it does not know the version of some.
  findStream @10 (key :UInt64, service :Text)
    -> (streams :List(StreamsOfVersion), versions :List(Text), lacksVersions :Bool, seenForMs :UInt32);
}
