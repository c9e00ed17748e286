/** What an experiment earned and what it cost, by kind of request, by second and by cause. */
import type { Workload } from './workload.js';

/** One play's figures. */
export type Tally = {
  readonly worth: number;
  readonly prices: number;
  /** The worth less the prices. */
  readonly net: number;
  readonly worstSeconds: number;
  readonly kinds: Readonly<Record<string, Tally.Kind>>;
  /** Worth earned of worth owed, for each second in which requests were sent. */
  readonly seconds: readonly number[];
  readonly counts: Readonly<Record<string, number>>;
};

export declare namespace Tally {
  type Kind = {
    readonly asked: number;
    readonly worth: number;
    readonly late: number;
    readonly failed: number;
  };
  /** How a request ended at its client. */
  type End = 'in time' | 'late first' | 'late pause' | 'failed';
}

type Sum = { owed: number; earned: number; asked: number; late: number; failed: number };

const emptySum = (): Sum => ({ owed: 0, earned: 0, asked: 0, late: 0, failed: 0 });
const secondsInWorst = 2;

/** A book that is written while an experiment plays, and closed at its end. */
export class TallyBook {
  private readonly kinds = new Map<string, Sum>();
  private readonly seconds: Sum[] = [];
  private readonly counts = new Map<string, number>();
  private readonly whole = emptySum();

  constructor(private readonly workload: Workload) {}

  count(name: string, by = 1): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + by);
  }

  ended(request: Workload.Drawn, end: Tally.End): void {
    const earned = end === 'in time' ? request.worth : end === 'failed' ? 0 : request.lateWorth;
    const second = Math.floor(request.at / 1000);
    while (this.seconds.length <= second) this.seconds.push(emptySum());
    const kind = this.kinds.get(request.kind.name) ?? emptySum();
    this.kinds.set(request.kind.name, kind);
    for (const sum of [this.whole, kind, this.seconds[second]!]) {
      sum.asked += 1;
      sum.owed += request.worth;
      sum.earned += earned;
      if (end === 'failed') sum.failed += 1;
      else if (end !== 'in time') sum.late += 1;
    }
    this.count(`${request.kind.name}: ${end}`);
  }

  close(): Tally {
    const { connection, megabyteBetweenZones, megabyteBetweenRegions, millionTokensReadAgain } =
      this.workload.prices;
    const of = (name: string) => this.counts.get(name) ?? 0;
    const spent =
      of('connections') * connection +
      (of('bytes between zones') / 1e6) * megabyteBetweenZones +
      (of('bytes between regions') / 1e6) * megabyteBetweenRegions +
      (of('tokens read again') / 1e6) * millionTokensReadAgain;
    const share = ({ earned, owed }: Sum) => (owed > 0 ? earned / owed : 1);
    const seconds = this.seconds.map(share);
    const worst = seconds
      .slice(0, -1)
      .map((value, index) => (value + seconds[index + 1]!) / secondsInWorst)
      .sort((a, b) => a - b);
    const prices = this.whole.owed > 0 ? spent / this.whole.owed : 0;
    return {
      worth: share(this.whole),
      prices,
      net: share(this.whole) - prices,
      worstSeconds: ((worst[0] ?? 1) + (worst[1] ?? 1)) / 2,
      kinds: Object.fromEntries(
        [...this.kinds].map(([name, sum]) => [
          name,
          {
            asked: sum.asked,
            worth: share(sum),
            late: sum.late / sum.asked,
            failed: sum.failed / sum.asked,
          },
        ]),
      ),
      seconds,
      counts: Object.fromEntries([...this.counts].sort(([a], [b]) => (a < b ? -1 : 1))),
    };
  }
}
