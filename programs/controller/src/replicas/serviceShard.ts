import * as v from 'valibot';
import type { StateMachine } from '@pewterlanding/consensus';
import { LearnedServiceStatistics } from '@pewterlanding/agent';
import { ServiceCommand } from './serviceCommand.js';
import { ServiceReturn } from './serviceReturn.js';
import { serviceShardFormat1 } from './serviceShardFormat1.js';

const Snapshot = v.record(v.string(), LearnedServiceStatistics);

/** The replicated state of a service shard: the usual output of services, and which replicas have left, so that both outlast fronts. */
export class ServiceShard implements StateMachine<ServiceCommand, ServiceReturn> {
  #services: Record<string, LearnedServiceStatistics> = {};

  get services(): Readonly<Record<string, LearnedServiceStatistics>> {
    return this.#services;
  }

  read(raw: unknown): ServiceCommand {
    return v.parse(ServiceCommand, serviceShardFormat1(raw));
  }

  readReturn(raw: unknown): ServiceReturn {
    return v.parse(ServiceReturn, raw);
  }

  apply(command: ServiceCommand): ServiceReturn {
    const known = this.#services[command.service] ?? { left: {} };
    this.#services = { ...this.#services, [command.service]: afterCommand(known, command) };
    return { done: true };
  }

  snapshot(): unknown {
    return structuredClone(this.#services);
  }

  restore(raw: unknown): void {
    this.#services = v.parse(Snapshot, raw);
  }
}

function afterCommand(known: LearnedServiceStatistics, command: ServiceCommand): LearnedServiceStatistics {
  if (command.kind === 'learn') return { ...known, outputTokens: command.outputTokens };
  const incarnation = Math.max(command.incarnation, known.left[command.address] ?? 0);
  return { ...known, left: { ...known.left, [command.address]: incarnation } };
}
