import { HarnessError } from '../errors/index.js';
/** Asks again until it holds; for the real fleet only, where there is nothing to await. */
export async function pollUntil(what: string, holds: () => Promise<boolean>, timeoutMs: number): Promise<void> {
  const endMs = Date.now() + timeoutMs;
  while (Date.now() < endMs) {
    if (await holds().catch(() => false)) return;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new HarnessError(`not in ${timeoutMs} ms: ${what}`);
}
