// What commands and queries share: the acting primary, confirmation by a majority, and the bound in
// which an answer goes out. An answer that can't be confirmed is a 503 that says whether the change may
// have been taken.
import type { Proposer } from '../epoch/proposer.js';
import { Failure } from '../kinds/failure.js';
import { Moment } from '../kinds/moment.js';
import type { Stamp } from '../kinds/stamp.js';
import { Timer } from '../kinds/timer.js';
import type { Primary } from '../replica/primary.js';
import { State } from '../store/state.js';
import type { Responses } from './responses.js';

export type Office = {
  readonly confirm: () => Promise<State>;
  readonly isSettled: () => boolean;
  readonly change: (
    make: (state: State, stamp: Stamp) => State.Change | Responses,
    tell: (state: State, change: State.Change) => Responses,
  ) => Promise<Responses>;
};

const responseWithin = 5000;
const lookAgainFor = 1500;
const lookAgainEvery = 50;

export const Office = {
  of(needs: { readonly leading: () => Primary | undefined; readonly proposer: Proposer }): Office {
    const mustLead = (): Primary => {
      const primary = needs.leading();
      if (!primary) throw Failure.of('unconfirmed', 'no primary here', { taken: 'no' });
      return primary;
    };
    const isSettled = () => {
      const primary = mustLead();
      return State.isSettled(primary.state(), primary.term().formed);
    };
    const confirm = async (): Promise<State> => {
      const began = Moment.now();
      for (;;) {
        const primary = mustLead();
        const state = primary.state();
        if (await primary.confirm()) {
          if (isSettled()) return state;
          throw Failure.of('unconfirmed', 'the cores formed anew and ask the nodes', { taken: 'no' });
        }
        const term = await needs.proposer.read();
        if (term && term.primary !== primary.term().primary)
          primary.depose('a majority names another primary');
        if (Moment.since(began) > lookAgainFor)
          throw Failure.of('unconfirmed', 'no majority confirms the epoch', { taken: 'no' });
        await Timer.pause(lookAgainEvery);
      }
    };
    return {
      confirm,
      isSettled,
      async change(make, tell) {
        const primary = mustLead();
        let isBegun = false;
        let isExpired = false;
        let refusal: Responses | undefined;
        let change: State.Change | undefined;
        const work = primary.commit((state, stamp) => {
          if (isExpired) return undefined;
          const made = make(state, stamp);
          if ('kind' in made) {
            isBegun = true;
            change = made;
            return made;
          }
          refusal = made;
          return undefined;
        });
        work.catch(() => undefined);
        let timer: Timer | undefined;
        const late = new Promise<never>((_resolve, reject) => {
          timer = Timer.after(responseWithin, () => {
            isExpired = true;
            reject(Failure.of('unconfirmed', 'not confirmed in time', { taken: isBegun ? 'unknown' : 'no' }));
          });
        });
        try {
          const state = await Promise.race([work, late]);
          if (refusal) {
            await confirm();
            return refusal;
          }
          return tell(state, change!);
        } catch (error) {
          if (Failure.info(error).taken !== undefined) throw error;
          throw Failure.of(
            'unconfirmed',
            'the change was not confirmed',
            { taken: isBegun ? 'unknown' : 'no' },
            error,
          );
        } finally {
          timer?.stop();
        }
      },
    };
  },
};
