import * as v from 'valibot';
import type { StateMachine } from '@pewterlanding/consensus';
import { LearnedServiceStatistics } from '@pewterlanding/agent';
import { ServiceCommand } from './serviceCommand.js';
import { serviceShardFormat1 } from './serviceShardFormat1.js';

const Done = v.strictObject({ done: v.literal(true) });
type Done = v.InferOutput<typeof Done>;
const Digest = v.record(v.string(), LearnedServiceStatistics);

/** What is learned of services and must outlast every front: their usual output, and which replica lives have ended. */
export class ServiceShard implements StateMachine<ServiceCommand, Done> {
  #services: Record<string, LearnedServiceStatistics> = {};

  get services(): Readonly<Record<string, LearnedServiceStatistics>> {
    return this.#services;
  }

  read(raw: unknown): ServiceCommand {
    return v.parse(ServiceCommand, serviceShardFormat1(raw));
  }

  readReturn(raw: unknown): Done {
    return v.parse(Done, raw);
  }

  apply(command: ServiceCommand): Done {
    const known = this.#services[command.service] ?? { left: {} };
    const next: LearnedServiceStatistics =
      command.kind === 'learn'
        ? { ...known, outputTokens: command.outputTokens }
        : { ...known, left: { ...known.left, [command.address]: Math.max(command.incarnation, known.left[command.address] ?? 0) } };
    this.#services = { ...this.#services, [command.service]: next };
    return { done: true };
  }

  snapshot(): unknown {
    return structuredClone(this.#services);
  }

  restore(raw: unknown): void {
    this.#services = v.parse(Digest, raw);
  }
}
