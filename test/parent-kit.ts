// What a parent in a test needs beside its feed and its roll: no peers, no relays, nobody else's turn.
import { Children } from '../src/membership/children.js';
import type { Downlink } from '../src/membership/downlink.js';
import type { MemberTable } from '../src/membership/member-table.js';
import { Roster } from '../src/membership/roster.js';
import { TransferQueue } from '../src/membership/transfer-queue.js';
import type { Feed } from '../src/news/feed.js';

export const ParentKit = {
  needs: (feed: Feed, roll: MemberTable, others: Partial<Downlink.Options> = {}): Downlink.Options => ({
    feed,
    members: roll,
    children: Children.of(roll),
    peers: () => [],
    relays: () => [],
    isRelay: () => false,
    transfers: TransferQueue.of(),
    roster: Roster.of(),
    version: '',
    age: () => 0,
    onTokens: () => {},
    onCold: () => {},
    ...others,
  }),
};
