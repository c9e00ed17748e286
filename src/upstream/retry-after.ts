/**
 * The Retry-After header. A date is converted to a span relative to the Date header of the same response, so that the
 * local wall clock is not used.
 */
import type { IncomingHttpHeaders } from 'node:http';

/** Parses and formats Retry-After values. */
export const RetryAfter = {
  /** The span in milliseconds, or undefined if the header is missing or invalid. */
  parse(headers: IncomingHttpHeaders): number | undefined {
    const value = headers['retry-after'];
    if (value === undefined) return undefined;
    if (/^\d{1,6}(\.\d{1,6})?$/.test(value)) return Number(value) * 1000;
    const span = Date.parse(value) - Date.parse(headers.date ?? '');
    return Number.isFinite(span) && span >= 0 ? span : undefined;
  },
  /**
   * Whole seconds, at least 1, with up to 100 percent of random delay so that clients do not retry at the same time.
   */
  format: (span: number, random: () => number): string =>
    String(Math.max(1, Math.ceil((Math.max(span, 1000) * (1 + random())) / 1000))),
};
