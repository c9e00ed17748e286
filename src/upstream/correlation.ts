// What ties an answer to its request: a header that the server sends back with the value it was sent. Where there
// is one, a connection may carry one request after another, since an answer that comes late, twice or unasked is
// told by its value. Where there is none, each request gets a connection that has carried none before.
import type { IncomingHttpHeaders } from 'node:http';

export type Correlation = { readonly header: string; readonly value: string };

export const Correlation = {
  /** Whether an answer with these headers is to the request of this tie. */
  matches: (tie: Correlation | undefined, headers: IncomingHttpHeaders): boolean =>
    tie === undefined || headers[tie.header] === tie.value,
};
