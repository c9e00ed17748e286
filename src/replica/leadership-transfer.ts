/**
 * Leadership transfer. A primary whose own disk fails or stalls asks its backups to take over and is deposed at once. A
 * primary that is shutting down asks one backup after the other and keeps leading until one has taken over.
 */

import { Failure } from '../common/failure.js';
import { Timer } from '../common/timer.js';
import { Term } from '../epoch/term.js';
import type { Frame } from '../wire/frame.js';
import type { PeerClient } from '../wire/peer-client.js';
import type { Leadership } from './leadership.js';

/** Steps down because of a local disk failure; always throws `unconfirmed`. */
export type LeadershipTransfer = (cause: unknown) => Promise<never>;

const requestTimeoutMs = 1200;
/** How long a backup that agreed to take over may need. */
const takeOverTimeoutMs = 1000;

/** Transfers the leadership to a backup. */
export const LeadershipTransfer = {
  /** Asks the backups in order to take over; resolves with the reason if none did, else with an empty string. */
  async request(options: {
    readonly leadership: Leadership;
    readonly clientFor: (core: Frame.Core) => PeerClient | undefined;
  }): Promise<string> {
    const { leadership } = options;
    const { epoch } = leadership.term();
    for (const disk of leadership.backups()) {
      const core = Term.core(leadership.term(), disk);
      const peerClient = core && options.clientFor(core);
      if (!core || !peerClient?.reaches(core) || peerClient.downFor() > 0) continue;
      const reply = await peerClient.ask({ kind: 'yield', epoch }, requestTimeoutMs).catch(() => undefined);
      if (reply?.kind !== 'done' || !reply.isDone) continue;
      await Promise.race([leadership.deposed, Timer.sleep(takeOverTimeoutMs)]);
      if (!leadership.isLeading()) return '';
    }
    return 'no backup took over';
  },
  /** The handler of a local disk failure, which asks all backups to take over. */
  of(options: {
    readonly leadership: Leadership;
    readonly clientFor: (core: Frame.Core) => PeerClient | undefined;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): LeadershipTransfer {
    const { leadership } = options;
    return async (cause) => {
      options.note('local disk failure', { why: Failure.text(cause) });
      const { cores, epoch } = leadership.term();
      const backups = leadership.backups();
      for (const core of cores.filter(({ disk }) => backups.includes(disk)))
        void options
          .clientFor(core)
          ?.ask({ kind: 'yield', epoch }, requestTimeoutMs)
          .catch(() => undefined);
      leadership.depose(`local disk failure: ${Failure.text(cause)}`);
      throw Failure.of('unconfirmed', 'local disk failure', {}, cause);
    };
  },
};
