package org.dogwoodwinch.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a stand-in engine answers: a function of the prompt alone, so that a test can work out the whole answer.
 *
 * <p>Markers in a prompt steer the engine: {@code [tokens=N]} sets the answer's length, {@code [prompt-tokens=N]} the
 * prompt's length without the text to go with it, and {@code [crash]} crashes the engine that runs it.
 */
public final class StandInText {

    private static final Pattern ANSWER_TOKENS = Pattern.compile("\\[tokens=(\\d{1,6})]");
    private static final Pattern PROMPT_TOKENS = Pattern.compile("\\[prompt-tokens=(\\d{1,7})]");
    private static final String CRASH_MARKER = "[crash]";
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int SHORTEST_ANSWER_TOKENS = 8;
    private static final int ANSWER_SPREAD_TOKENS = 40;
    private static final int RADIX = 36;

    private StandInText() {}

    /**
     * Returns a prompt's length.
     *
     * @param prompt the prompt, not null
     * @return tokens, one or more
     */
    public static int promptTokens(String prompt) {
        return markerOr(PROMPT_TOKENS, prompt, Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN));
    }

    /**
     * Returns the length of the answer to a prompt.
     *
     * @param prompt the prompt, not null
     * @param maxTokens the most tokens that the caller wants
     * @return tokens, one or more
     */
    public static int answerTokens(String prompt, int maxTokens) {
        int natural = SHORTEST_ANSWER_TOKENS + Math.floorMod(hash(prompt, -1), ANSWER_SPREAD_TOKENS);
        return Math.max(1, Math.min(maxTokens, markerOr(ANSWER_TOKENS, prompt, natural)));
    }

    /**
     * Returns one token of the answer to a prompt.
     *
     * @param prompt the prompt, not null
     * @param sequence the token's number, from zero
     * @return its text
     */
    public static String token(String prompt, long sequence) {
        return Integer.toString(hash(prompt, sequence) >>> 1, RADIX) + " ";
    }

    /**
     * Returns the whole answer to a prompt.
     *
     * @param prompt the prompt, not null
     * @param maxTokens the most tokens that the caller wants
     * @return its text
     */
    public static String answer(String prompt, int maxTokens) {
        StringBuilder text = new StringBuilder();
        int tokens = answerTokens(prompt, maxTokens);
        for (int i = 0; i < tokens; i++) {
            text.append(token(prompt, i));
        }
        return text.toString();
    }

    /**
     * Says whether a prompt crashes the engine that runs it.
     *
     * @param prompt the prompt, not null
     * @return true where it holds the crash marker
     */
    public static boolean crashes(String prompt) {
        return prompt.contains(CRASH_MARKER);
    }

    private static int markerOr(Pattern marker, String prompt, int otherwise) {
        Matcher matcher = marker.matcher(prompt);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : otherwise;
    }

    private static int hash(String prompt, long sequence) {
        return Hashing.murmur3_32_fixed()
                .newHasher()
                .putString(prompt, StandardCharsets.UTF_8)
                .putLong(sequence)
                .hash()
                .asInt();
    }
}
