import type { ServiceName } from '@pewterlanding/model';
import type { ReplicaSelector } from './replicaSelector.js';
import { headerOf } from '../connections/headerOf.js';
import type { HeaderNames } from '../forwarding/headerNames.js';

/** What a task's headers tell of the work that it is and of the prompt parts that it shares. */
export function selectionRequestOf(
  headerNames: HeaderNames,
  headers: readonly string[],
  service: ServiceName,
  urgency: number,
): Omit<Parameters<ReplicaSelector['enter']>[0], 'without'> {
  const [promptTokens, outputTokens] = (headerOf(headers, headerNames.tokens) ?? '').split(',').map(countOf);
  const parts = (headerOf(headers, headerNames.parts) ?? '').split(',').map((part) => part.trim().split(':'));
  // The last part belongs to the task or its session alone.
  const shared = parts.slice(0, -1);
  return {
    service,
    kind: 'live',
    urgency,
    model: headerOf(headers, headerNames.model),
    promptTokens: promptTokens ?? 0,
    outputTokens: outputTokens ?? 0,
    shared: shared.map(([id]) => id).join(','),
    sharedTokens: shared.reduce((sum, [, tokens]) => sum + countOf(tokens ?? ''), 0),
  };
}

function countOf(text: string): number {
  const count = Number(text);
  return Number.isFinite(count) && count > 0 ? count : 0;
}
