// Retry-After as a span in milliseconds. A date counts from the answer's own Date header, so that our
// wall clock plays no part.
import type { IncomingHttpHeaders } from 'node:http';

export const RetryAfter = {
  parse(headers: IncomingHttpHeaders): number | undefined {
    const text = headers['retry-after'];
    if (text === undefined) return undefined;
    if (/^\d{1,6}(\.\d{1,6})?$/.test(text)) return Number(text) * 1000;
    const span = Date.parse(text) - Date.parse(headers.date ?? '');
    return Number.isFinite(span) && span >= 0 ? span : undefined;
  },
  format: (span: number, random: () => number): string =>
    String(Math.max(1, Math.ceil((Math.max(span, 1000) * (1 + random())) / 1000))),
};
