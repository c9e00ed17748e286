// A control node of the tests that asks servers for their load at /load, as an installation's adapter would, and
// says which node asks.
import { request } from 'undici';
import { Control } from '../../../../src/control/program.js';
import type { ReportSource } from '../../../../src/duty/report-source.js';
import { Program } from '../../../../src/startup/program.js';
import { Startup } from '../../../../src/startup/startup.js';

const reportsFor = (node: string): ReportSource => ({
  async read({ instance, address }) {
    try {
      const answer = await request(`http://${address}/load`, { headers: { 'x-asked-by': node } });
      return { instance, ...((await answer.body.json()) as Omit<ReportSource.Load, 'instance'>) };
    } catch {
      return undefined;
    }
  },
});

Program.main({
  name: 'bramblebend-control',
  about: 'A control node that asks servers for their load.',
  guard: Startup.control,
  flags: {},
  start: (startup, ring) => Control.start(startup, ring, { reports: reportsFor(startup.node) }),
});
