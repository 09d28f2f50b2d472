@0xb1d0c5a9e0f4a7c3;
# Frames exchanged by cactustiller's daemons. Field names match messages.py.

struct Frame {
  id @0 :UInt64;
  kind @1 :Kind;
  enum Kind { request @0; reply @1; }
  body :union {
    hello @2 :Hello;
    done @3 :Void;
    failure @4 :Failure;
    submitJob @5 :SubmitJob;
    getJob @6 :GetJob;
    jobView @7 :JobView;
    listJobs @8 :ListJobs;
    jobList @9 :JobList;
    cancelJob @10 :GetJob;
    explainJob @11 :GetJob;
    explanation @12 :Explanation;
    reserveRuns @13 :ReserveRuns;
    reservations @14 :Reservations;
    startRuns @15 :StartRuns;
    startAnswer @16 :Refusals;
    stopRuns @17 :StopRuns;
    reportRuns @18 :ReportRuns;
    reportAnswer @19 :ReportAnswer;
    publishWorkers @20 :PublishWorkers;
    acquirePermits @21 :AcquirePermits;
    permits @22 :Permits;
    unusedReturnPermits @23 :Void;
    reportPermits @24 :ReportPermits;
    heldPermits @25 :HeldPermits;
    announceSettings @26 :SettingsAnnouncement;
    getSettings @27 :GetSettings;
    settingsBody @28 :SettingsBody;
    announceOwnership @29 :Announcement;
    getStats @30 :Void;
    stats @31 :Stats;
    drain @32 :Void;
    publishUsage @33 :PublishUsage;
    releaseRuns @34 :ReleaseRuns;
    handInJob @35 :HandInJob;
    findJobState @36 :FindJobState;
    jobStateFound @37 :JobStateFound;
    countPending @38 :CountPending;
    pendingCounted @39 :PendingCounted;
    askApproval @40 :AskApproval;
    approvalGiven @41 :ApprovalGiven;
    withdrawJob @42 :WithdrawJob;
    announceOwner @43 :AnnounceOwner;
    getDesired @44 :Void;
    desiredText @45 :DesiredText;
    handOver @46 :HandOver;
  }
}

struct Label { name @0 :Text; value @1 :Text; }

struct Resources {
  cpuMillis @0 :UInt64;
  memoryMib @1 :UInt64;
  accelerators @2 :UInt32;
}

struct Hello {
  protocolVersion @0 :UInt32;
  member @1 :Text;
  role @2 :Text;
  zone @3 :Text;
  incarnation @4 :Text;
}

struct Failure {
  code @0 :Text;
  step @1 :Text;
  peer @2 :Text;
  reason @3 :Text;
  outcome @4 :Text;
  retryAfterMs @5 :UInt32;
}

struct TaskTemplate {
  resources @0 :Resources;
  runSeconds @1 :Float64;
  payload @2 :Text;
  required @3 :List(Label);
  preferred @4 :List(Label);
}

struct JobSpec {
  name @0 :Text;
  team @1 :Text;
  queue @2 :Text;
  kind @3 :Text;
  urgency @4 :Text;
  taskCount @5 :UInt32;
  template @6 :TaskTemplate;
  deadlineSeconds @7 :Float64;
  maxAttempts @8 :UInt32;
}

struct SubmitJob {
  home @0 :Text;
  job @1 :Text;
  spec @2 :JobSpec;
  key @3 :Text;
}

struct GetJob {
  home @0 :Text;
  job @1 :Text;
  detail @2 :Bool;
}

struct TaskView {
  index @0 :UInt32;
  state @1 :Text;
  attempt @2 :UInt32;
  worker @3 :Text;
  reason @4 :Text;
}

struct JobView {
  job @0 :Text;
  spec @1 :JobSpec;
  state @2 :Text;
  reason @3 :Text;
  submittedAt @4 :Float64;
  endedAt @5 :Float64;
  waiting @6 :UInt32;
  assigned @7 :UInt32;
  running @8 :UInt32;
  succeeded @9 :UInt32;
  failed @10 :UInt32;
  cancelled @11 :UInt32;
  firstStartSeconds @12 :Float64;
  lastStartSeconds @13 :Float64;
  tasks @14 :List(TaskView);
}

struct ListJobs { team @0 :Text; home @1 :Text; }
struct JobList { jobs @0 :List(JobView); }
struct Explanation { lines @0 :List(Text); }

struct RunKey {
  job @0 :Text;
  index @1 :UInt32;
  attempt @2 :UInt32;
}

struct RunRecord {
  job @0 :Text;
  index @1 :UInt32;
  attempt @2 :UInt32;
  home @3 :Text;
  team @4 :Text;
  worker @5 :Text;
  template @6 :TaskTemplate;
  kind @7 :Text;
  urgency @8 :Text;
}

struct ReserveRuns {
  shard @0 :Text;
  holdMs @1 :UInt32;
  runs @2 :List(RunRecord);
  allOrNone @3 :Bool;
}

struct Reservation { granted @0 :Bool; reason @1 :Text; }
struct Reservations { epoch @0 :UInt64; results @1 :List(Reservation); }
struct ReleaseRuns { shard @0 :Text; runs @1 :List(RunKey); }
struct StartRuns { shard @0 :Text; runs @1 :List(RunRecord); epoch @2 :UInt64; }
struct Refusal { run @0 :RunKey; reason @1 :Text; }
struct Refusals { refused @0 :List(Refusal); epoch @1 :UInt64; }
struct StopRuns {
  shard @0 :Text;
  runs @1 :List(RunKey);
  checkpoint @2 :Bool;
  reason @3 :Text;
}

struct RunReport {
  run @0 :RunKey;
  state @1 :Text;
  worker @2 :Text;
  reason @3 :Text;
  runSeconds @4 :Float64;
}
struct ReportRuns { home @0 :Text; shard @1 :Text; reports @2 :List(RunReport); epoch @3 :UInt64; }
struct ReportAnswer { recorded @0 :List(RunKey); }

struct WorkerView {
  worker @0 :Text;
  shard @1 :Text;
  free @2 :Resources;
  usable @3 :Bool;
  reason @4 :Text;
}
struct PublishWorkers {
  member @0 :Text;
  full @1 :Bool;
  workers @2 :List(WorkerView);
}

struct TeamUsage {
  team @0 :Text;
  used @1 :Resources;
  waiting @2 :Resources;
}
struct KeptCapacity { worker @0 :Text; tasks @1 :UInt32; amounts @2 :Resources; }
struct ClaimView {
  job @0 :Text;
  since @1 :Float64;
  startsInSeconds @2 :Float64;
  kept @3 :List(KeptCapacity);
}
struct PublishUsage {
  member @0 :Text;
  full @1 :Bool;
  teams @2 :List(TeamUsage);
  claims @3 :List(ClaimView);
}

struct Permit {
  executor @0 :Text;
  number @1 :UInt64;
  epoch @2 :UInt64;
}
struct AcquirePermits {
  service @0 :Text;
  count @1 :UInt32;
  zone @2 :Text;
  gateway @3 :Text;
  sequence @4 :UInt64;
  held @5 :List(Permit);
  avoid @6 :List(Text);
  longestMs @7 :UInt32;
}
struct Permits {
  permits @0 :List(Permit);
  queued @1 :UInt32;
  epoch @2 :UInt64;
  lifeMs @3 :UInt32;
  share @4 :UInt32;
  lost @5 :List(UInt64);
}
struct HeldPermits {
  permits @0 :List(Permit);
  epoch @1 :UInt64;
  gateway @2 :Text;
  longestMs @3 :UInt32;
  limitMs @4 :UInt32;
  previousBusyMs @5 :UInt32;
}
struct ReportPermits { service @0 :Text; epoch @1 :UInt64; }

struct Announcement { version @0 :UInt64; origin @1 :Text; }
struct SettingsAnnouncement {
  version @0 :UInt64;
  origin @1 :Text;
  baseVersion @2 :UInt64;
  patch @3 :Text;
  digest @4 :Text;
}
struct GetSettings { knownVersion @0 :UInt64; }
struct SettingsBody {
  version @0 :UInt64;
  text @1 :Text;
  ageMs @2 :UInt64;
  tableDown @3 :Bool;
  memberCount @4 :UInt32;
}
struct Stats { text @0 :Text; }

struct HandInJob { job @0 :Text; row @1 :Text; }
struct WithdrawJob { job @0 :Text; }
struct FindJobState { queue @0 :Text; job @1 :Text; }
struct JobStateFound { state @0 :Text; }
struct CountPending { queue @0 :Text; }
struct PendingCounted { count @0 :UInt32; }
struct AskApproval { step @0 :Text; workers @1 :List(Text); }
struct ApprovalGiven { tickets @0 :List(Label); validMs @1 :UInt32; }
struct AnnounceOwner {
  epoch @0 :UInt64;
  member @1 :Text;
  address @2 :Text;
  desiredVersion @3 :UInt64;
  isStandby @4 :Bool;
}
struct DesiredText { text @0 :Text; }
struct HandOver { epoch @0 :UInt64; }
