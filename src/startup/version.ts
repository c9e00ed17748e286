/** The version of the program, read from package.json. */
import { readFileSync } from 'node:fs';

/** A version of the program. */
export type Version = string;

/** The version of this program. */
export const Version: Version = (
  JSON.parse(readFileSync(new URL('../../../package.json', import.meta.url), 'utf8')) as { version: string }
).version;
