/**
 * A scale run as a table for people: a row a role at rest, a row an event, and what each event cost a role above its
 * cost at rest.
 */
import type { Counts } from './counts.js';
import type { Run } from './run.js';

/** Writes reports as tables. */
export type Table = { readonly text: (report: Run.Report) => string };

const number = (value: number): string =>
  value >= 100 ? String(Math.round(value)) : value.toPrecision(3).replace(/\.?0+$/, '');

const lines = (rows: readonly (readonly string[])[]): string => {
  const widths = rows[0]!.map((_none, column) => Math.max(...rows.map((row) => row[column]!.length)));
  return rows
    .map((row) => `| ${row.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |`)
    .flatMap((line, index) =>
      index === 0 ? [line, `|${widths.map((one) => '-'.repeat(one + 2)).join('|')}|`] : [line],
    )
    .join('\n');
};

const kindsOf = (rate: Counts.Rate): string =>
  Object.entries(rate.kinds)
    .sort(([, a], [, b]) => b.bytes - a.bytes)
    .slice(0, 3)
    .map(
      ([kind, { frames, bytes }]) =>
        `${kind} ${number(frames / rate.seconds)}/s ${number(bytes / rate.seconds)} B/s`,
    )
    .join(', ');

/** Tables in Markdown. */
export const Table: Table = {
  text({ size, rest, events, members, depths, oldest, startedIn }) {
    const roles = Object.entries(rest).map(([role, rate]) => [
      role,
      number(rate.sent.frames / rate.seconds),
      number(rate.got.frames / rate.seconds),
      number(rate.sent.bytes / rate.seconds),
      number(rate.got.bytes / rate.seconds),
      number((100 * rate.processor) / rate.seconds),
      number(rate.resident / 1e6),
      kindsOf(rate),
    ]);
    const happened = events.map((event) => [
      event.name,
      event.last === undefined ? 'not in time' : number(event.last),
      ...['primary', 'core', 'relay', 'leaf', 'proxy'].map((role) => {
        const extra = event.extra[role];
        return extra ? `${number(extra.frames)} / ${number(extra.bytes / 1000)}` : '';
      }),
    ]);
    return [
      `${JSON.stringify(size)}`,
      `started in ${number(startedIn)} ms; ${members} members, agents by depth ${JSON.stringify(depths)}; oldest word ${number(oldest)} ms`,
      lines([
        [
          'role at rest',
          'sent /s',
          'got /s',
          'sent B/s',
          'got B/s',
          '% of a core',
          'MB',
          'most bytes, both ways',
        ],
        ...roles,
      ]),
      lines([['event', 'last ms', 'primary frames / kB', 'core', 'relay', 'leaf', 'proxy'], ...happened]),
    ].join('\n\n');
  },
};
