// Plants each defect in a copy of the built programs and runs the campaign on the copy: the judge named must
// find it within a few seeds. Exit code 1 when one was not found, or when a defect has no place any more.
import { spawn } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import sade from 'sade';
import { Main } from '../main.js';
import { Plants } from './plants.js';

type Flags = { only: string; seed: number; tries: number; at: number };
type Line = { readonly breaches?: Readonly<Record<string, readonly unknown[]>>; readonly seed?: number };

const root = fileURLToPath(new URL('../../../', import.meta.url));

const buildCopy = (plant: Plants): string => {
  const folder = mkdtempSync(join(tmpdir(), 'bramblebend-plant-'));
  cpSync(join(root, 'dist'), join(folder, 'dist'), { recursive: true });
  cpSync(join(root, 'package.json'), join(folder, 'package.json'));
  symlinkSync(join(root, 'node_modules'), join(folder, 'node_modules'));
  for (const { file, from, to } of [plant, ...(plant.also ? [plant.also] : [])]) {
    const path = join(folder, 'dist', file);
    const text = readFileSync(path, 'utf8');
    if (!text.includes(from)) throw new Error(`${plant.name}: ${file} has no ${from}`);
    const changed = text.replace(from, () => to);
    writeFileSync(path, changed);
  }
  return folder;
};

const runCopy = (folder: string, plant: Plants, seed: number): Promise<readonly Line[]> =>
  new Promise((resolve) => {
    const { deployment, seconds, final, only, atOnce } = plant;
    const flags = { deployment, seed, seconds, final, 'at-once': atOnce, only: only.join(',') };
    const args = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, String(value)]);
    const child = spawn(process.execPath, [join(folder, 'dist/tools/campaign/campaign.js'), ...args], {
      env: { ...process.env, TMPDIR: folder },
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    let text = '';
    child.stdout.on('data', (chunk) => {
      text += String(chunk);
    });
    child.once('exit', () => {
      const lines = text.split('\n').filter((line) => line !== '');
      resolve(lines.map((line) => JSON.parse(line) as Line));
    });
  });

const find = async (plant: Plants, flags: Flags): Promise<boolean> => {
  const folder = buildCopy(plant);
  try {
    for (let count = 0; count < Number(flags.tries); count += 1) {
      const seed = Number(flags.seed) + count;
      const line = (await runCopy(folder, plant, seed)).find((one) => one.seed === seed);
      const found = Object.entries(line?.breaches ?? {}).map(([name, list]) => `${name} ${list[0]}`);
      const isFound = line?.breaches?.[plant.judge] !== undefined;
      const { name, judge } = plant;
      process.stdout.write(`${JSON.stringify({ name, judge, seed, isFound, found })}\n`);
      if (isFound) return true;
    }
    return false;
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

const run = async (flags: Flags): Promise<number> => {
  const chosen = Plants.filter(({ name, judge }) => `${name} ${judge}`.includes(String(flags.only)));
  const waiting = [...chosen];
  const missed: string[] = [];
  const work = async () => {
    for (let plant = waiting.shift(); plant; plant = waiting.shift())
      if (!(await find(plant, flags))) missed.push(plant.name);
  };
  await Promise.all(Array.from({ length: Number(flags.at) }, work));
  process.stdout.write(`${JSON.stringify({ planted: chosen.length, missed })}\n`);
  return missed.length === 0 ? 0 : 1;
};

sade('plant', true)
  .option('--only', 'part of the names or judges of the defects to plant', '')
  .option('--seed', 'first seed', 1)
  .option('--tries', 'seeds to try for each defect', 3)
  .option('--at', 'how many campaigns to run at once', 1)
  .action((flags: Flags) => {
    Main(run(flags));
  })
  .parse(process.argv);
