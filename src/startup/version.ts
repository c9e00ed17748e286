// The version of the program, as the package states it.
import { readFileSync } from 'node:fs';

export type Version = string;

export const Version: Version = (
  JSON.parse(readFileSync(new URL('../../../package.json', import.meta.url), 'utf8')) as { version: string }
).version;
