// A primary whose own disk fails or stalls hands its place over: its backups are asked to take it, and it is
// deposed at once. One that is about to end asks one backup after the other, and leads on until one has taken over.

import { Failure } from '../common/failure.js';
import { Timer } from '../common/timer.js';
import { Term } from '../epoch/term.js';
import type { Frame } from '../wire/frame.js';
import type { PeerClient } from '../wire/peer-client.js';
import type { Leadership } from './leadership.js';

/** Hands the place over because of a failure of the own disk; always throws `unconfirmed`. */
export type HandOver = (cause: unknown) => Promise<never>;

const askWithin = 1200;
/** How long a backup that agreed has for taking over, in milliseconds. */
const takeOverWithin = 1000;

export const HandOver = {
  /** Asks the backups in their order to take over; resolves with the reason where none did. */
  async byRequest(needs: {
    readonly leadership: Leadership;
    readonly courierTo: (core: Frame.Core) => PeerClient | undefined;
  }): Promise<string> {
    const { leadership } = needs;
    const { epoch } = leadership.term();
    for (const disk of leadership.backups()) {
      const core = Term.core(leadership.term(), disk);
      const courier = core && needs.courierTo(core);
      if (!core || !courier?.reaches(core) || courier.downFor() > 0) continue;
      const reply = await courier.ask({ kind: 'yield', epoch }, askWithin).catch(() => undefined);
      if (reply?.kind !== 'done' || !reply.isDone) continue;
      await Promise.race([leadership.deposed, Timer.sleep(takeOverWithin)]);
      if (!leadership.isLeading()) return '';
    }
    return 'no backup took over';
  },
  of(needs: {
    readonly leadership: Leadership;
    readonly courierTo: (core: Frame.Core) => PeerClient | undefined;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
  }): HandOver {
    const { leadership } = needs;
    return async (cause) => {
      needs.note('own disk failure', { why: Failure.text(cause) });
      const { cores, epoch } = leadership.term();
      const backups = leadership.backups();
      for (const core of cores.filter(({ disk }) => backups.includes(disk)))
        void needs
          .courierTo(core)
          ?.ask({ kind: 'yield', epoch }, askWithin)
          .catch(() => undefined);
      leadership.depose(`own disk: ${Failure.text(cause)}`);
      throw Failure.of('unconfirmed', 'own disk failure', {}, cause);
    };
  },
};
