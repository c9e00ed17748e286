// Two ends of a link inside one process: frames are handed over as they are, with the sender's stamp, in order and
// never at once. Neither end pings, since neither can be lost without the other; who hears word passes it on. Over sockets word is
// passed on by the timer alone: the time on the way is not in its age, so two nodes below each other that passed it on
// at once would keep it young for ever.
import { StateMachine } from '../common/state-machine.js';
import type { Frame } from './frame.js';
import type { Link } from './link.js';

export type LinkPair = readonly [Link, Link];

type End = { readonly link: Link; readonly take: (frame: Frame) => void; readonly end: () => void };

const makeEnd = (terms: Link.Options, peer: string, other: () => End): End => {
  const phase = StateMachine.of('open', { open: ['closed'], closed: [] });
  const held: Frame[] = [];
  let wake: () => void = () => {};
  let resolveClosed: () => void = () => {};
  const closed = new Promise<void>((resolve) => {
    resolveClosed = resolve;
  });
  const close = () => {
    if (phase.is('closed')) return;
    phase.transitionTo('closed');
    wake();
    resolveClosed();
    other().end();
  };
  return {
    end: close,
    take(frame) {
      held.push(frame);
      wake();
    },
    link: {
      peer,
      isLocal: true,
      flushed: () => Promise.resolve(),
      close,
      closed,
      isOpen: () => phase.is('open'),
      send(body) {
        if (!phase.is('open')) return false;
        other().take({ ...body, stamp: terms.stamp() });
        return true;
      },
      async *frames() {
        try {
          for (;;) {
            const frame = held.shift();
            if (frame) yield frame;
            else if (phase.is('closed')) return;
            else
              await new Promise<void>((resolve) => {
                wake = resolve;
              });
          }
        } finally {
          close();
        }
      },
    },
  };
};

export const LinkPair = {
  of(first: Link.Options, second: Link.Options, name: string): LinkPair {
    const a: End = makeEnd(first, name, () => b);
    const b: End = makeEnd(second, name, () => a);
    return [a.link, b.link];
  },
};
