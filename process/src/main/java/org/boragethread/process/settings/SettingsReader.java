package org.boragethread.process.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Reads a settings file and collects all problems, so that an operator sees them at once. Getters
 * return a placeholder or default value when they record a problem.
 */
public final class SettingsReader {

    private final String mFile;
    private final JsonNode mRoot;
    private final Set<String> mSections = new HashSet<>();
    private final List<SettingsProblem> mProblems = new ArrayList<>();

    /**
     * Parses the text of a file.
     *
     * @param file name of the file, for messages
     */
    public SettingsReader(String file, String toml) {
        mFile = file;
        mRoot = parse(toml);
    }

    private JsonNode parse(String toml) {
        try {
            return new TomlMapper().readTree(toml);
        } catch (JsonProcessingException e) {
            addProblem("", "", "correct the TOML syntax: " + e.getOriginalMessage());
            return JsonNodeFactory.instance.objectNode();
        }
    }

    /** Returns a section. A missing section is empty, so that its required keys become problems. */
    public SettingsSection section(String name) {
        mSections.add(name);
        JsonNode node = mRoot.path(name);
        if (!node.isMissingNode() && !node.isObject()) {
            addProblem(name, node.toString(), "write it as a section, [" + name + "]");
        }
        return new SettingsSection(this, name, node);
    }

    /** Records a problem. */
    public void addProblem(String key, String value, String remedy) {
        mProblems.add(new SettingsProblem(mFile, key, value, remedy));
    }

    /**
     * Returns all problems, including unknown sections. Must be called after all keys were read.
     */
    public List<SettingsProblem> problems() {
        Iterator<String> names = mRoot.fieldNames();
        List<SettingsProblem> all = new ArrayList<>(mProblems);
        while (names.hasNext()) {
            String name = names.next();
            if (!mSections.contains(name)) {
                all.add(
                        new SettingsProblem(
                                mFile, name, "", "remove it; known sections are " + mSections));
            }
        }
        return all;
    }
}
