// No source of the product, of what deploys it or of the experiments knows a deployment, a day or the bench by name.
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join, relative } from 'node:path';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const folders = ['src', 'platform', 'deploy', 'tools/experiment'];
const named = [
  ...['baobab', 'likhet', 'glenmuir', 'paisley', 'leith', 'tyne', 'dakar', 'thies', 'saint-louis'],
  ...['refund-brief', 'return-reply', 'book-confirm', 'renewal-dossier', 'comptoir-question'],
  ...['stock-lookup', 'full-report', 'draft-check', 'bramble-desk', 'bramble-pharma', 'booking-app'],
  ...['fleetbench', 'hunt-', 'LD_PRELOAD'],
];
const dayNames = /\b(?:quiet|scale|trouble|fresh)-[0-9a-f]/i;

const breachesIn = (text: string): readonly string[] => {
  const lower = text.toLowerCase();
  const words = named.filter((word) => lower.includes(word.toLowerCase()));
  const day = dayNames.exec(text)?.[0];
  return day === undefined ? words : [...words, day];
};

describe('no fitting', () => {
  it('names no deployment, day or bench in a source', () => {
    const files = folders.flatMap((folder) =>
      readdirSync(join(root, folder), { recursive: true, withFileTypes: true })
        .filter((entry) => entry.isFile())
        .map((entry) => join(entry.parentPath, entry.name)),
    );
    assert.ok(files.length > 200, `${files.length} files`);
    const breaches = files.flatMap((file) =>
      breachesIn(readFileSync(file, 'utf8')).map((word) => `${relative(root, file)}: ${word}`),
    );
    assert.deepEqual(breaches, []);
  });

  it('is found where it is', () => {
    assert.deepEqual(breachesIn("if (name === 'Glenmuir') return 3;"), ['glenmuir']);
    assert.deepEqual(breachesIn('on trouble-1 alone'), ['trouble-1']);
    assert.deepEqual(breachesIn('const quietSince = 1; scale-in'), []);
  });
});
