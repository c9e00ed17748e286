/**
 * Correlates a response with its request by a header whose value the server returns unchanged. With such a header a
 * connection can be reused, because a late, duplicate or unsolicited response is recognized by its value. Without one,
 * each request needs a connection that has carried no request before.
 */
import type { IncomingHttpHeaders } from 'node:http';

/** The header and the value expected in the response. */
export type Correlation = { readonly header: string; readonly value: string };

/** Checks responses. */
export const Correlation = {
  /** Whether a response with these headers belongs to the request; always true without a correlation header. */
  matches: (correlation: Correlation | undefined, headers: IncomingHttpHeaders): boolean =>
    correlation === undefined || headers[correlation.header] === correlation.value,
};
