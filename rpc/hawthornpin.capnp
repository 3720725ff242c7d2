# The protocol between hawthornpin's own processes.

@0xd3a1f2c45b6e7089;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hawthornpin::wire");

struct AgentIdentity {
  id @0 :Text;
  incarnation @1 :UInt64;
}

struct TicketId {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Ticket {
  service @0 :Text;
  home @1 :AgentIdentity;
  id @2 :TicketId;
  expiryMs @3 :Int64;
}

struct GrantId {
  ticket @0 :TicketId;
  task @1 :UInt32;
}

struct Outcome {
  verdict @0 :UInt8;
  reason @1 :UInt16;
  ticketOpen @2 :Bool;
}

struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
  estimatedWaitMs @2 :UInt32;
  failuresPerMille @3 :UInt16;
  stopped @4 :Bool;
}

struct Submission {
  ticket @0 :Ticket;
  team @1 :Text;
  digest @2 :Text;
  budgetMs @3 :UInt32;
  memoryMib @4 :UInt32;
  accelerators @5 :UInt32;
  payloads @6 :List(Text);
}

struct JobAnswer {
  outcome @0 :Outcome;
  answers @1 :List(Text);
  retryAfterMs @2 :UInt32;
  pending @3 :Bool;   # the wait ended before the job did
}

struct Grant {
  home @0 :AgentIdentity;
  id @1 :GrantId;
  attempt @2 :UInt32;
  team @3 :Text;
  payload @4 :Text;
  budgetMs @5 :UInt32;
  estimatedMs @6 :UInt32;
  validForMs @7 :UInt32;
  sent @8 :UInt64;   # tasks sent to this worker so far, this one included
}

struct TaskEnd {
  outcome @0 :Outcome;
  answer @1 :Text;
}

struct Announcement {
  identity @0 :AgentIdentity;
  service @1 :Text;
  region @2 :Text;
  zone @3 :Text;
  rack @4 :Text;
  address @5 :Text;
  slots @6 :UInt16;
  memoryMib @7 :UInt32;
  accelerators @8 :UInt16;
  generation @9 :UInt64;
  sequence @10 :UInt64;
  state @11 :UInt8;
  load @12 :Load;
  ageMs @13 :UInt32;
}

# The short form of an announcement, for members that the receiver knows.
struct Heartbeat {
  id @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  running @3 :UInt16;
  failuresPerMille @4 :UInt16;
  queued @5 :UInt32;
  estimatedWaitMs @6 :UInt32;
  ageMs @7 :UInt16;
  stopped @8 :Bool;
}

struct EntryInfo {
  id @0 :Text;
  address @1 :Text;
  ageMs @2 :UInt32;
}

struct ConfigFile {
  path @0 :Text;
  version @1 :UInt64;
  content @2 :Text;
  removed @3 :Bool;
}

struct ConfigUpdate {
  version @0 :UInt64;
  files @1 :List(ConfigFile);
}

struct RunRef {
  job @0 :Text;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  index @3 :UInt32;
  number @4 :UInt32;
}

struct Resources {
  cpuMilli @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :Int32;
}

# Runs of one step, which share all but their index and number.
struct RunOrders {
  runs @0 :List(RunRef);
  specification @1 :Text;
  needs @2 :Resources;
  estimateMs @3 :UInt32;
  startWithinMs @4 :UInt32;
  slackMs @5 :Int64;
  requiredLabel @6 :Text;
}

struct Life {
  id @0 :Text;
  incarnation @1 :UInt64;
}

# The evacuated zones by all records of the operator's log before an offset. Every record that was acknowledged
# ageMs before the message was sent, or earlier, is among them.
struct Evacuation {
  isKnown @0 :Bool;   # false from a sender that knows no state
  offset @1 :Int64;
  zones @2 :List(Text);
  ageMs @3 :UInt32;
}

struct OrderBatch {
  home @0 :Life;
  homeAddress @1 :Text;
  clockSeen @2 :UInt64;
  number @3 :UInt64;
  starts @4 :List(RunOrders);
  stops @5 :List(RunRef);
  entries @6 :List(Text);
  agentIncarnation @7 :UInt64;
  evacuation @8 :Evacuation;
}

struct AgentStatus {
  life @0 :Life;
  address @1 :Text;
  zone @2 :Text;
  service @3 :Text;
  labels @4 :List(Text);
  state @5 :UInt8;
  isSettled @6 :Bool;
  capacity @7 :Resources;
  free @8 :Resources;
  clock @9 :UInt64;
  ordersSeen @10 :UInt64;
  sequence @11 :UInt64;
  receiver @12 :Life;
}

struct RunOutcome {
  run @0 :RunRef;
  result @1 :UInt8;
  durationMs @2 :UInt32;
  # One more than the verdict; 0 from a sender that does not tell it.
  verdict @3 :UInt8;
}

struct JobStep {
  taskCount @0 :UInt32;
  perTask @1 :Resources;
  estimateMs @2 :UInt32;
  dependsOn @3 :List(UInt32);
  requiredLabel @4 :Text;
  preferredRack @5 :Text;
  maxPerWorker @6 :UInt32;
  isCheckpointing @7 :Bool;
  isGang @8 :Bool;
  isLongRunning @9 :Bool;
  isFilling @10 :Bool;
}

struct WorkRequest {
  id @0 :Text;
  specification @1 :Text;
  steps @2 :List(JobStep);
  isBestEffort @3 :Bool;
  repeatCount @4 :UInt32;
}

# What a home needs of a queue's contract.
struct QueueContract {
  name @0 :Text;
  service @1 :Text;
  priority @2 :Int32;
  maxAttempts @3 :UInt32;
  stretch @4 :Float64;
  latencyTargetMs @5 :UInt32;
}

struct EntryPresence {
  session @0 :Life;
  clockSeen @1 :UInt64;
  homesPerAgent @2 :UInt32;
  evacuation @3 :Evacuation;
}

struct HomeStatus {
  clock @0 :UInt64;
  usableAgents @1 :UInt32;
  isLeaving @2 :Bool;
  freeMilli @3 :Int64;
}

struct JobEnd {
  end @0 :UInt8;
  reason @1 :UInt8;
  retryAfterMs @2 :UInt32;
}

# The first capability of every connection: proves that both ends hold the same cluster key.
interface Authenticator {
  challenge @0 () -> (nonce :Text);
  authenticate @1 (proof :Text) -> (node :Node);
}

# What an authenticated peer may ask. Agents answer the first group, entries the second.
interface Node {
  submit @0 (submission :Submission, from :Text, sent :UInt64) -> (answer :JobAnswer, load :Load, seen :UInt64);
  fetch @1 (ticket :Ticket, waitMs :UInt32) -> (answer :JobAnswer, load :Load);
  cancel @2 (ticket :Ticket) -> (outcome :Outcome);
  run @3 (grant :Grant) -> (end :TaskEnd, load :Load, seen :UInt64);
  revoke @4 (id :GrantId, validForMs :UInt32) -> (outcome :Outcome);
  idle @5 (identity :AgentIdentity, load :Load) -> ();

  # Peers are told only to agents that want them from this entry; `peers` lists all of the agent's subset.
  announce @6 (announcement :Announcement, configVersion :UInt64, seen :UInt64, wantsPeers :Bool)
      -> (supersededBy :UInt64, entries :List(EntryInfo), changes :UInt64,
          members :List(Announcement), peers :List(Heartbeat), config :ConfigUpdate);
  exchange @7 (from :EntryInfo, members :List(Announcement), heartbeats :List(Heartbeat), seen :UInt64,
               configVersion :UInt64, wantsCheckpoint :Bool)
      -> (id :Text, changes :UInt64, entries :List(EntryInfo), members :List(Announcement),
          heartbeats :List(Heartbeat), isMissingMembers :Bool, configVersion :UInt64, checkpoint :Text);

  # Runs on a worker: an entry orders, the agent reports how they ended and presents itself to entries.
  order @8 (batch :OrderBatch) -> (status :AgentStatus);
  report @9 (status :AgentStatus, outcomes :List(RunOutcome)) -> ();
  # An entry also names the agent's homes, best first.
  present @10 (status :AgentStatus, evacuation :Evacuation)
      -> (entries :List(Text), homes :List(Text), evacuation :Evacuation);
  # Between entries: who is there, and the directory if the answering one has a newer version.
  share @11 (address :Text, entries :List(Text), version :Int64, evacuation :Evacuation)
      -> (entries :List(Text), version :Int64, directory :Text, evacuation :Evacuation);

  # An entry and a home of its callers' jobs: heartbeats, and jobs, whose calls end when the jobs do. A call that
  # is dropped ends its job.
  attend @12 (presence :EntryPresence) -> (status :HomeStatus);
  handIn @13 (presence :EntryPresence, work :WorkRequest, queue :QueueContract, patienceMs :UInt32)
      -> (end :JobEnd, status :HomeStatus);
}
