/** Replication to the other members: one follower for each disk, created on first use. */
import type { Epoch } from '../common/epoch.js';
import { Stamp } from '../common/stamp.js';
import type { State } from '../store/state.js';
import type { Frame } from '../wire/frame.js';
import type { PeerClient } from '../wire/peer-client.js';
import { Protocol } from '../wire/protocol.js';
import { Follower } from './follower.js';
import type { Leadership } from './leadership.js';
import { MemberClient } from './member-client.js';
import type { TransferMeter } from './transfer-meter.js';
import type { TransferSource } from './transfer-source.js';

/** Replication to all other members, which are identified by their disks. */
export type Followers = {
  /** Brings a member to the state; see `Follower.replicate`. */
  readonly replicate: (core: Frame.Core, state: State) => Promise<Epoch>;
  /** Whether the member has confirmed the state, or a newer one, under the current term. */
  readonly hasConfirmed: (core: Frame.Core, stamp: Stamp) => boolean;
  /** Whether the member runs a version that supports transfers. */
  readonly supportsTransfers: (core: Frame.Core) => boolean;
  /** Milliseconds since the member's disk was last reachable: 0 while its link is up, infinite if it never was. */
  readonly downFor: (core: Frame.Core) => number;
  /** How far the member has followed. */
  readonly progress: (core: Frame.Core) => Follower.Progress;
};

type Member = { core: Frame.Core; readonly follower: Follower; readonly client: MemberClient };

/** Creates the replication to all other members. */
export const Followers = {
  /** Followers of a new leadership, none of them created yet. */
  of(options: {
    readonly leadership: Leadership;
    readonly clientFor: (core: Frame.Core) => PeerClient | undefined;
    readonly source: TransferSource;
    /** The state held when the leadership began; in-sync backups are assumed to hold it until they report one. */
    readonly initialStamp: Stamp;
    readonly meter: TransferMeter | undefined;
  }): Followers {
    const { leadership, clientFor, source, meter } = options;
    const members = new Map<string, Member>();
    const memberOf = (core: Frame.Core): Member => {
      let member = members.get(core.disk);
      if (!member) {
        const current = () => members.get(core.disk)?.core ?? core;
        const client = MemberClient.of({ core: current, clientFor, meter });
        const assumedStamp = leadership.backups().includes(core.disk) ? options.initialStamp : undefined;
        const follower = Follower.of({ core: current, leadership, client, source, assumedStamp });
        member = { core, client, follower };
        members.set(core.disk, member);
      }
      member.core = core;
      return member;
    };
    return {
      replicate: (core, state) => memberOf(core).follower.replicate(state),
      hasConfirmed(core, stamp) {
        const confirmed = memberOf(core).follower.confirmed(leadership.term().epoch);
        return confirmed !== undefined && !Stamp.isNewer(stamp, confirmed);
      },
      supportsTransfers(core) {
        try {
          return memberOf(core).client.protocol() >= Protocol.transfers;
        } catch {
          return false;
        }
      },
      downFor(core) {
        const peerClient = clientFor(core);
        return peerClient?.reaches(core) ? peerClient.downFor() : Number.POSITIVE_INFINITY;
      },
      progress: (core) => memberOf(core).follower.progress(),
    };
  },
};
