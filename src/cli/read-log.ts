// Reads the log ring of one program over its operations port.
import { request } from 'undici';

export type ReadLog = Record<string, unknown>;

const text = ({ timestamp, level, message, ...facts }: ReadLog): string =>
  `${timestamp} ${level} ${message} ${JSON.stringify(facts)}`;

export const ReadLog = {
  async run(address: string): Promise<string> {
    const response = await request(`http://${address}/log`, { headersTimeout: 5000 });
    return ((await response.body.json()) as ReadLog[]).map(text).join('\n');
  },
};
