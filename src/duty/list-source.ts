// Where the list of servers is read from when it is not pushed: a poll gives it whole, in as many
// pieces as it took, or says why not.
import type { Document } from '../manifest/document.js';

export type ListSource = {
  readonly poll: () => Promise<ListSource.Polled>;
  /** Calls a second that all pollers together may make. */
  readonly rate: () => number;
};

export declare namespace ListSource {
  type Polled =
    | { readonly kind: 'list'; readonly servers: readonly Document.Server[]; readonly pieces: number }
    | { readonly kind: 'busy' }
    | { readonly kind: 'failed'; readonly why: string };
}
