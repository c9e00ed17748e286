/**
 * The protobuf schema of the frames between the processes of the system. Fields are only ever added, since processes of
 * two program versions communicate during a rolling update.
 */
import protobuf from 'protobufjs';

const source = `
syntax = "proto3";
message Stamp { uint64 epoch = 1; uint64 revision = 2; }
message Entry { string node = 1; string program = 2; string zone = 3; string boot = 4; Stamp stamp = 5;
  string http = 6; string wire = 7; string via = 8; uint64 counter = 9; double age = 10; bool ready = 11; string ops = 12; uint32 depth = 13;
  bool vouched = 14; }
message Hello { Entry self = 1; string version = 2; string aim = 3; uint32 protocol = 4; }
message Welcome { Entry self = 1; repeated string peers = 2; string version = 3; repeated string relays = 4;
  double age = 5; uint32 protocol = 6; }
message Ping { double age = 1; double echo = 2; bool isVerified = 3; double verifiedAge = 4; }
message Ask { repeated string digests = 1; }
message News { bytes view = 1; bytes compressed = 2; }
message Range { string name = 1; string digest = 2; string body = 3; uint32 count = 4; }
message Patch { string seal = 1; repeated Range ranges = 2; bytes compressed = 3; }
message Roll { repeated Entry entries = 1; bool whole = 2; repeated string departed = 3; }
message Stale { string node = 1; double age = 2; }
message Heartbeat { uint32 count = 1; string digest = 2; repeated Stale stale = 3; }
message Inquire { string what = 1; }
message Ballot { uint64 round = 1; string disk = 2; }
message Core { string disk = 1; string node = 2; string wire = 3; string http = 4; }
message Term { uint64 epoch = 1; string primary = 2; repeated string inSync = 3; repeated Core cores = 4;
  uint64 formed = 5; }
message Prepare { uint64 serial = 1; Ballot ballot = 2; bool isForming = 3; }
message Accept { uint64 serial = 1; Ballot ballot = 2; Term term = 3; bool isChosen = 4; }
message Peek { uint64 serial = 1; string known = 2; }
message Vote { uint64 serial = 1; bool isGranted = 2; bool isBlank = 3; Ballot promised = 4; Ballot accepted = 5;
  Term term = 6; Core core = 7; uint64 highest = 8; bool isAble = 9; Stamp held = 10;
  string digest = 11; bool isSame = 12; uint32 protocol = 13; }
message Append { uint64 serial = 1; uint64 epoch = 2; Stamp previous = 3; bytes record = 4; bool whole = 5; }
message Appended { uint64 serial = 1; bool isTaken = 2; Stamp held = 3; uint64 floor = 4; string why = 5; }
message Offer { uint64 serial = 1; uint64 epoch = 2; Stamp previous = 3; Stamp target = 4; uint32 length = 5;
  string digest = 6; }
message Piece { uint64 serial = 1; uint64 epoch = 2; string digest = 3; uint32 offset = 4; bytes bytes = 5;
  string check = 6; }
message Position { uint64 serial = 1; bool isTaken = 2; Stamp held = 3; uint64 floor = 4; string why = 5;
  uint32 offset = 6; bool isWriting = 7; }
message Yield { uint64 serial = 1; uint64 epoch = 2; }
message Join { uint64 serial = 1; Core core = 2; }
message Leave { uint64 serial = 1; Core core = 2; Core successor = 3; }
message Done { uint64 serial = 1; bool isDone = 2; string why = 3; }
message Refuse { string reason = 1; }
message Batch { uint64 amount = 1; double age = 2; }
message Transfer { string group = 1; repeated Batch batches = 2; uint64 wanted = 3; }
message Work { double requests = 1; double prompt = 2; }
message Use { string team = 1; Work used = 2; Work holds = 3; Work wanted = 4; Work must = 5; uint32 proxies = 6;
  Work admitted = 7; Work refunded = 8; Work leased = 9; }
message Grant { string team = 1; double requests = 2; double prompt = 3; }
message Tokens { string node = 1; uint64 epoch = 2; repeated Batch batches = 3; uint64 wanted = 4;
  uint64 serial = 5; repeated Use uses = 6; repeated Grant grants = 7; bool life = 8; bool whole = 9; bool listening = 10;
  bool fromAllowance = 11; repeated Transfer transfers = 12; string boot = 13; double uptime = 14; }
message HorizonBallot { uint64 epoch = 1; uint64 round = 2; string node = 3; }
message Horizon { string node = 1; string step = 2; HorizonBallot ballot = 3; uint64 serial = 4; repeated Grant bounds = 5;
  bool isTaken = 6; bool isWhole = 7; HorizonBallot promised = 8; HorizonBallot accepted = 9; uint64 acceptedSerial = 10; bool isOpen = 11; }
message Lower { repeated string relays = 1; }
message Peers { repeated string peers = 1; }
message Roster { repeated string proxies = 1; repeated string added = 2; repeated string departed = 3; string digest = 4;
  bool whole = 5; }
message Cold { string instance = 1; double age = 2; bool dark = 3; }
message Load { string instance = 1; uint32 queued = 2; uint32 active = 3; float bound = 4; }
message Loads { repeated Load loads = 1; }
message Leaving { repeated string instances = 1; }
message Failed { string instance = 1; float count = 2; }
message Failures { repeated Failed failed = 1; }
message Frame { Stamp stamp = 1; double sentAt = 34;
  oneof body { Hello hello = 2; Welcome welcome = 3; Ping ping = 4; Ask ask = 5; News news = 6; Roll roll = 7;
    Refuse refuse = 8;
    Prepare prepare = 9; Accept accept = 10; Peek peek = 11; Vote vote = 12; Append append = 13;
    Appended appended = 14; Yield yield = 15; Join join = 16; Done done = 17; Tokens tokens = 18; Lower lower = 19; Roster roster = 20; Cold cold = 21; Patch patch = 22;
    Peers peers = 23; Loads loads = 24; Heartbeat heartbeat = 25; Inquire inquire = 26;
    Leaving leaving = 27; Failures failures = 28;
    Offer offer = 29; Piece piece = 30; Position position = 31;
    Leave leave = 33; Horizon horizon = 35; } }
`;

/** The message type of all frames. */
export const Schema = { frame: protobuf.parse(source, { keepCase: true }).root.lookupType('Frame') };
