/**
 * The options of a downlink that a test needs besides its feed and member table: no peers, no relays, and a transfer
 * queue of its own.
 */
import { Children } from '../src/membership/children.js';
import type { Downlink } from '../src/membership/downlink.js';
import type { MemberTable } from '../src/membership/member-table.js';
import { Roster } from '../src/membership/roster.js';
import { TransferQueue } from '../src/membership/transfer-queue.js';
import type { Feed } from '../src/news/feed.js';

/** Options for the parent of a test. */
export const ParentKit = {
  needs: (feed: Feed, members: MemberTable, others: Partial<Downlink.Options> = {}): Downlink.Options => ({
    feed,
    members,
    children: Children.of(members),
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
