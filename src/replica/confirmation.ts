// A primary's contact with a majority of the cores: asked for steadily, and before every answer. The age of the
// last confirmation counts from the moment at which it was asked for.

import { Instant } from '../common/instant.js';
import { Timer } from '../common/timer.js';
import type { Proposer } from '../epoch/proposer.js';
import type { Leadership } from './leadership.js';

/** Confirmation of the term by a majority. */
export type Confirmation = {
  /** Whether a majority confirms the term now. */
  readonly confirm: () => Promise<boolean>;
  /** When the newest confirmation was asked for. */
  readonly confirmedAt: () => Instant;
};

const confirmEvery = 200;

export const Confirmation = {
  /** Asks every 200 ms until the leadership ends. */
  begin(leadership: Leadership, proposer: Proposer): Confirmation {
    let confirmedAt = Instant.past;
    const confirm = async (): Promise<boolean> => {
      const asked = Instant.now();
      const isConfirmed = await proposer.confirm(leadership.term());
      if (isConfirmed && leadership.isLeading() && asked > confirmedAt) confirmedAt = asked;
      return isConfirmed;
    };
    const heartbeat = Timer.every(confirmEvery, () => void confirm());
    void confirm();
    void leadership.deposed.then(heartbeat.stop);
    return { confirm, confirmedAt: () => confirmedAt };
  },
};
