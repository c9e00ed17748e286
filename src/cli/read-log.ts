/** Reads the in-memory log of a program from its operations port. */

import { request } from 'undici';

/** A log entry: time, level, message and further fields. */
export type ReadLog = Record<string, unknown>;

const formatEntry = ({ timestamp, level, message, ...facts }: ReadLog): string =>
  `${timestamp} ${level} ${message} ${JSON.stringify(facts)}`;

/** The command that reads a log. */
export const ReadLog = {
  /** All entries of the log buffer, one a line. */
  async run(address: string): Promise<string> {
    const response = await request(`http://${address}/log`, { headersTimeout: 5000 });
    return ((await response.body.json()) as ReadLog[]).map(formatEntry).join('\n');
  },
};
