// The other members as the primary replicates to them: one follower for each disk, made when it is first wanted.
import type { Epoch } from '../common/epoch.js';
import { Stamp } from '../common/stamp.js';
import type { State } from '../store/state.js';
import type { Frame } from '../wire/frame.js';
import type { PeerClient } from '../wire/peer-client.js';
import { Protocol } from '../wire/protocol.js';
import { Follower } from './follower.js';
import type { Leadership } from './leadership.js';
import { MemberCalls } from './member-calls.js';
import type { TransferMeter } from './transfer-meter.js';
import type { TransferSource } from './transfer-source.js';

/** Replication to members by their disks. */
export type Followers = {
  /** Brings a member to the state; see `Follower.bring`. */
  readonly bring: (core: Frame.Core, state: State) => Promise<Epoch>;
  /** Whether the member has confirmed the state, or a newer one, under the term now in force. */
  readonly hasConfirmed: (core: Frame.Core, stamp: Stamp) => boolean;
  /** Whether the member runs a program that knows transfers. */
  readonly knowsTransfers: (core: Frame.Core) => boolean;
  /** Milliseconds since the member's disk was last heard of: 0 while its link is up, infinite if never. */
  readonly downFor: (core: Frame.Core) => number;
  readonly progress: (core: Frame.Core) => Follower.Progress;
};

type Member = { core: Frame.Core; readonly follower: Follower; readonly calls: MemberCalls };

export const Followers = {
  of(needs: {
    readonly leadership: Leadership;
    readonly courierTo: (core: Frame.Core) => PeerClient | undefined;
    readonly source: TransferSource;
    /** The state held when the leadership began: the backups in sync are taken to hold it until they tell. */
    readonly first: Stamp;
    readonly meter: TransferMeter | undefined;
  }): Followers {
    const { leadership, courierTo, source, meter } = needs;
    const members = new Map<string, Member>();
    const memberOf = (core: Frame.Core): Member => {
      let member = members.get(core.disk);
      if (!member) {
        const current = () => members.get(core.disk)?.core ?? core;
        const calls = MemberCalls.of({ core: current, courierTo, meter });
        const presumed = leadership.backups().includes(core.disk) ? needs.first : undefined;
        const follower = Follower.of({ core: current, leadership, calls, source, presumed });
        member = { core, calls, follower };
        members.set(core.disk, member);
      }
      member.core = core;
      return member;
    };
    return {
      bring: (core, state) => memberOf(core).follower.bring(state),
      hasConfirmed(core, stamp) {
        const confirmed = memberOf(core).follower.confirmed(leadership.term().epoch);
        return confirmed !== undefined && !Stamp.isNewer(stamp, confirmed);
      },
      knowsTransfers(core) {
        try {
          return memberOf(core).calls.protocol() >= Protocol.transfers;
        } catch {
          return false;
        }
      },
      downFor(core) {
        const courier = courierTo(core);
        return courier?.reaches(core) ? courier.downFor() : Number.POSITIVE_INFINITY;
      },
      progress: (core) => memberOf(core).follower.progress(),
    };
  },
};
