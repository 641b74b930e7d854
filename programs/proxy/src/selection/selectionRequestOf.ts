import type { ServiceName } from '@pewterlanding/model';
import type { HeaderNames } from '../headers/headerNames.js';
import { headerOf } from '../headers/headerOf.js';
import type { SelectionRequest } from './selectionRequest.js';

/** Reads model, token counts and shared prompt parts of a live request from its headers; what is missing or unreadable counts as 0. */
export function selectionRequestOf(
  headerNames: HeaderNames,
  headers: readonly string[],
  service: ServiceName,
  urgency: number,
): Omit<SelectionRequest, 'without'> {
  const [promptTokens = 0, outputTokens = 0] = (headerOf(headers, headerNames.tokens) ?? '').split(',').map(countOf);
  const parts = (headerOf(headers, headerNames.parts) ?? '').split(',').map((part) => part.trim().split(':'));
  // The last part belongs to this request or its session alone.
  const shared = parts.slice(0, -1);
  return {
    service,
    kind: 'live',
    urgency,
    model: headerOf(headers, headerNames.model),
    promptTokens,
    outputTokens,
    shared: shared.map(([id]) => id).join(','),
    sharedTokens: shared.reduce((sum, [, tokens]) => sum + countOf(tokens ?? ''), 0),
  };
}

function countOf(text: string): number {
  const count = Number(text);
  return Number.isFinite(count) && count > 0 ? count : 0;
}
