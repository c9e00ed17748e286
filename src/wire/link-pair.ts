/**
 * A link between two parts of one process. Frames are passed as objects, in order and asynchronously, with the stamp of
 * the sender. Neither end sends pings, since neither can fail without the other; the receiver forwards each message from
 * the primary itself. Over sockets messages are forwarded only by the ping timer: their age does not include the time in
 * transit, so two nodes that forward to each other at once would keep a message young forever.
 */
import { StateMachine } from '../common/state-machine.js';
import type { Frame } from './frame.js';
import type { Link } from './link.js';

/** Both ends of a link. */
export type LinkPair = readonly [Link, Link];

type End = { readonly link: Link; readonly receive: (frame: Frame) => void; readonly end: () => void };

const makeEnd = (options: Link.Options, peer: string, other: () => End): End => {
  const state = StateMachine.of('open', { open: ['closed'], closed: [] });
  const queue: Frame[] = [];
  let wake: () => void = () => {};
  let resolveClosed: () => void = () => {};
  const closed = new Promise<void>((resolve) => {
    resolveClosed = resolve;
  });
  const close = () => {
    if (state.is('closed')) return;
    state.transitionTo('closed');
    wake();
    resolveClosed();
    other().end();
  };
  return {
    end: close,
    receive(frame) {
      queue.push(frame);
      wake();
    },
    link: {
      peer,
      isLocal: true,
      flushed: () => Promise.resolve(),
      close,
      closed,
      isOpen: () => state.is('open'),
      send(body) {
        if (!state.is('open')) return false;
        other().receive({ ...body, stamp: options.stamp() });
        return true;
      },
      async *frames() {
        try {
          for (;;) {
            const frame = queue.shift();
            if (frame) yield frame;
            else if (state.is('closed')) return;
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

/** Creates pairs of connected links. */
export const LinkPair = {
  of(first: Link.Options, second: Link.Options, name: string): LinkPair {
    const a: End = makeEnd(first, name, () => b);
    const b: End = makeEnd(second, name, () => a);
    return [a.link, b.link];
  },
};
