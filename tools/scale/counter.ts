/**
 * Loaded into a program before it starts: counts the frames it sends and gets, by kind, notes how large the roster is
 * that it has, and writes that with its processor time and memory to a file five times a second. The program itself is
 * unchanged.
 */
import { openSync, writeSync } from 'node:fs';
import { Roster } from '../../src/membership/roster.js';
import { Frame } from '../../src/wire/frame.js';
import { Counts } from './counts.js';

const path = process.env.BRAMBLEBEND_COUNTS ?? '';
const writeEvery = 200;

const counts = Counts.of();
const { encode, decode } = Frame;
Frame.encode = (stamp, body) => {
  const bytes = encode(stamp, body);
  counts.sent(body.kind, bytes.length);
  return bytes;
};
Frame.decode = (bytes) => {
  const frame = decode(bytes);
  counts.got(frame?.kind ?? 'unknown', bytes.length + 4);
  if (frame?.kind === 'roster' && frame.whole) counts.knows(frame.proxies.length);
  return frame;
};
const { after } = Roster;
Roster.after = (names, change) => {
  const next = after(names, change);
  if (next) counts.knows(next.length);
  return next;
};

const file = openSync(path, 'w');
let longest = 0;
/** Writes in place: replacing a file makes some file systems wait for the disk, which all nodes share. */
const write = () => {
  const text = JSON.stringify(counts.sample());
  longest = Math.max(longest, text.length);
  writeSync(file, text.padEnd(longest), 0);
};
write();
setInterval(write, writeEvery).unref();
