/** The names of a list that is separated by commas; undefined where none is given. */
export function listOf(text: string | undefined): readonly string[] | undefined {
  return text?.split(',').filter((name) => name !== '');
}
