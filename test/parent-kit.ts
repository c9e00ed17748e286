// What a parent in a test needs beside its feed and its roll: no peers, no relays, nobody else's turn.
import { Children } from '../src/membership/children.js';
import type { Downlink } from '../src/membership/downlink.js';
import type { Roll } from '../src/membership/roll.js';
import { Roster } from '../src/membership/roster.js';
import { Turns } from '../src/membership/turns.js';
import type { Feed } from '../src/news/feed.js';

export const ParentKit = {
  needs: (feed: Feed, roll: Roll, others: Partial<Downlink.Needs> = {}): Downlink.Needs => ({
    feed,
    roll,
    children: Children.of(roll),
    peers: () => [],
    relays: () => [],
    isRelay: () => false,
    turns: Turns.of(),
    roster: Roster.of(),
    version: '',
    age: () => 0,
    onTokens: () => {},
    onCold: () => {},
    ...others,
  }),
};
