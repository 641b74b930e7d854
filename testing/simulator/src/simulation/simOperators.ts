import type { ChangeOutcome, OperatorApi, ConfigurationChange } from '@pewterlanding/controller';
import { simService } from './simService.js';
import type { SimEnvironment } from './simEnvironment.js';

interface OrderOptions {
  /** The controller that it is sent to first; drawn where it is left out. */
  readonly at?: string;
  /** The part of the acknowledgements that never reach the operator. */
  readonly lossRatio?: number;
  /** The configuration that it builds on; read first where it is left out. */
  readonly basedOn?: number;
  /** How far its number is above the one that it builds on. */
  readonly ahead?: number;
}

type Verdict = ChangeOutcome['outcome'] | 'unclear';

/** An operator waits so long for an acknowledgement, and so long before it sends the same order again. */
const ackMs = 4000;
const againMs = 300;
const maxSends = 8;
/** How many of an operator's orders are old ones sent again. */
const againRatio = 0.2;

/** Operators that put changes in force in one call, and send the same order again, to another controller, until they hear of it. */
export class SimOperators {
  readonly #environment: SimEnvironment;
  /** Every order that was sent, oldest first. */
  readonly #sent: ConfigurationChange[] = [];
  #orders = 0;
  #stopped = false;

  constructor(environment: SimEnvironment) {
    this.#environment = environment;
  }

  /** Sends an order until an acknowledgement arrives; what the operator then knows. */
  async sendChange(options: OrderOptions = {}): Promise<Verdict> {
    const basedOn = options.basedOn ?? (await this.revision());
    if (basedOn === undefined) return 'unclear';
    return this.#send(this.#change(basedOn, basedOn + (options.ahead ?? 1)), options);
  }

  /** Several operators at once, each at a controller of its own, on one version; each number as far ahead of it as said. */
  async sendConcurrently(ahead: readonly number[], lossRatio = 0): Promise<readonly Verdict[]> {
    const basedOn = await this.revision();
    if (basedOn === undefined) return [];
    const controllers = this.#environment.machines('controller');
    const all = ahead.map((step, position) =>
      this.sendChange({ basedOn, ahead: step, lossRatio, at: controllers[position % controllers.length] }),
    );
    return Promise.all(all);
  }

  /** From now on an operator sends an order every so often, until it is stopped. Now and then it sends old ones again. */
  sendPeriodically(everyMs: number, lossRatio: number): void {
    this.#environment.schedule(everyMs, () => {
      if (this.#stopped) return;
      const again = this.#environment.fleet.random() < againRatio;
      void (again ? this.resendOldestAndNewest(1) : this.sendChange({ lossRatio }));
      this.sendPeriodically(everyMs, lossRatio);
    });
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Sends so many of the oldest orders, and as many of the newest, once more as they were. */
  async resendOldestAndNewest(limit: number): Promise<void> {
    const chosen = new Set([...this.#sent.slice(0, limit), ...this.#sent.slice(-limit)]);
    for (const change of chosen) await this.#send(change, {});
  }

  /** Orders that must not be taken: on an old version, on one that never was, under a number that is used, and cut short. */
  async sendInvalidChanges(): Promise<void> {
    const revision = await this.revision();
    if (revision === undefined) return;
    const good = this.#change(revision, revision + 1);
    const wrong: ConfigurationChange[] = [
      this.#change(revision + 7, revision + 8),
      this.#change(revision, revision),
      { ...good, hash: `${good.hash}/cut`, change: { kind: 'whole', configuration: {} } },
    ];
    if (revision > 0) wrong.push(this.#change(revision - 1, revision));
    for (const change of wrong) await this.#send(change, { wrong: true });
  }

  /** The operator's number in force, read at any controller. */
  async revision(): Promise<number | undefined> {
    const read = await this.#withTimeout(this.#operatorApi(undefined, undefined)?.operatorApi.configuration(ackMs));
    return read === undefined ? undefined : (read.configuration?.revision ?? 0);
  }

  /** A change of one service that callers do not notice, unlike any other. */
  #change(basedOn: number, revision: number): ConfigurationChange {
    this.#orders += 1;
    const sheet = { ...simService('whole', false, this.#environment.hosts), runMs: 8000 + this.#orders };
    const drop = { routes: [], services: [] };
    return { basedOn, revision, hash: `order-${this.#orders}`, change: { kind: 'items', routes: {}, services: { sheet }, drop } };
  }

  async #send(
    change: ConfigurationChange,
    options: Pick<OrderOptions, 'at' | 'lossRatio'> & { readonly wrong?: boolean },
  ): Promise<Verdict> {
    const { fleet } = this.#environment;
    const order = `${change.revision}/${change.hash}`;
    const { basedOn, revision } = change;
    if (!this.#sent.includes(change)) {
      fleet.note({ type: 'ordered', atMs: fleet.time.nowMs, order, basedOn, revision, wrong: options.wrong ?? false });
      if (options.wrong !== true) this.#sent.push(change);
    }
    let last: string | undefined;
    for (let sends = 0; sends < maxSends; sends += 1) {
      const to = this.#operatorApi(sends === 0 ? options.at : undefined, last);
      last = to?.name;
      const outcome = await this.#withTimeout(to?.operatorApi.set(change, ackMs).then((response) => response.outcome));
      if (outcome !== undefined) {
        const lost = fleet.random() < (options.lossRatio ?? 0);
        fleet.note({ type: 'orderAnswered', atMs: fleet.time.nowMs, order, outcome, lost });
        if (!lost) return outcome;
      }
      await new Promise<void>((resolve) => this.#environment.schedule(againMs, resolve));
    }
    return 'unclear';
  }

  /** What comes of an answer that may never come: whoever was asked may be gone. */
  #withTimeout<T>(answer: Promise<T> | undefined): Promise<T | undefined> {
    if (answer === undefined) return Promise.resolve(undefined);
    const patience = new Promise<undefined>((resolve) => this.#environment.schedule(ackMs, () => resolve(undefined)));
    return Promise.race([answer.catch(() => undefined), patience]);
  }

  /** A controller that answers now: the one asked for, or any but the last. */
  #operatorApi(at: string | undefined, but: string | undefined): { readonly name: string; readonly operatorApi: OperatorApi } | undefined {
    const open = this.#environment.fleet.named('controller').flatMap(({ machine, process }) => {
      const operatorApi = process?.operatorApi;
      return operatorApi === undefined || machine.frozen ? [] : [{ name: machine.name, operatorApi }];
    });
    const chosen = open.find(({ name }) => name === at);
    const others = open.filter(({ name }) => name !== but);
    return chosen ?? others[Math.floor(this.#environment.fleet.random() * others.length)];
  }
}
